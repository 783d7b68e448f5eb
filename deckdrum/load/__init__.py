"""Decisions under load: where work is placed, how it waits, what is refused.

Nothing here reads a clock, sends or receives: each decision is a function of
what was observed.
"""

from deckdrum.load.placement import (
    Deal,
    deal_connections,
    pick_holders,
)

__all__ = ['Deal', 'deal_connections', 'pick_holders']
