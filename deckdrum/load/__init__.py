"""Decisions under load: where work is placed, how it waits, what is refused.

Nothing here reads a clock, sends or receives: each decision is a function of
what was observed.
"""

from deckdrum.load.placement import (
    ConnectionAllocation,
    allocate_connections,
    select_holders,
)

__all__ = ['ConnectionAllocation', 'allocate_connections', 'select_holders']
