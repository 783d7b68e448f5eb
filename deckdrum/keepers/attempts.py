"""Attempts to run one batch of a channel."""

from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.backends.pool import Lease
from deckdrum.databases.base import Database, DatabaseLink
from deckdrum.fleet.messages import RunBatch
from deckdrum.keepers.access import Access
from deckdrum.keepers.routing import Route

#: Delay before a batch that was not run is attempted again.
RETRY_DELAY_S: Final = 0.05


@dataclass(slots=True)
class HeldConnection:
    """Connection held by the channel, and its route."""

    lease: Lease[Database, DatabaseLink]
    route: Route


@dataclass(slots=True)
class Attempt:
    """Batch and the deadline for it to get a connection."""

    batch: RunBatch
    access: Access
    deadline: float

    async def remaining(self) -> float:
        """Return the seconds left, at least `RETRY_DELAY_S`."""
        now: float = await curio.clock()
        return max(self.deadline - now, RETRY_DELAY_S)

    async def is_over(self) -> bool:
        """Whether the deadline has passed."""
        now: float = await curio.clock()
        return now >= self.deadline
