"""Load management: connection allocation, queueing, rate limits and eviction.

The functions in this package read no clock and do no I/O: each decision depends
only on its arguments.
"""

from deckdrum.load.allocation import (
    ConnectionAllocation,
    allocate_connections,
    select_holders,
)

__all__ = ['ConnectionAllocation', 'allocate_connections', 'select_holders']
