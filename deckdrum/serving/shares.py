"""Connection shares of the callers of each route."""

from collections.abc import Iterator, Mapping
from dataclasses import replace
from typing import Final

from deckdrum.control import Route
from deckdrum.members import GroupShare

#: Weights of groups of callers, by priority of their route (0 is the highest).
#: Under contention connections are shared in proportion to the weights.
PRIORITY_WEIGHTS: Final = (4.0, 2.0, 1.0)
#: Queued requests per group of callers and server.
MAX_QUEUED_REQUESTS: Final = 64


class RouteShares(Mapping[str, GroupShare]):
    """Shares of the routes of one group, by database name."""

    def __init__(self) -> None:
        self._shares: dict[str, GroupShare] = {}

    def __getitem__(self, database: str) -> GroupShare:
        return self._shares[database]

    def __iter__(self) -> Iterator[str]:
        return iter(self._shares)

    def __len__(self) -> int:
        return len(self._shares)

    def set_route(self, route: Route, *, is_urgency_ordered: bool) -> bool:
        """Set the share of a route; return whether it has changed.

        `is_urgency_ordered` tells whether urgent statements go first, instead
        of sharing connections by weight.
        """
        priority = max(0, route.priority)
        level = min(priority, len(PRIORITY_WEIGHTS) - 1)
        share = GroupShare(
            PRIORITY_WEIGHTS[level],
            MAX_QUEUED_REQUESTS,
            priority if is_urgency_ordered else None,
        )
        if self._shares.get(route.database) == share:
            return False
        self._shares[route.database] = share
        return True

    def drop_priorities(self) -> None:
        """Share connections by weights alone."""
        for database, share in self._shares.items():
            self._shares[database] = replace(share, priority=None)
