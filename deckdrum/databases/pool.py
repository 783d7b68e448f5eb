"""Pooled connections to one database."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.databases.base import Database, DatabaseLink
from deckdrum.members import FairQueue, GroupShare, Permit
from deckdrum.outcomes import Refusal

#: Longest wait for a new connection, in seconds.
CONNECT_LIMIT: Final = 1.0
#: Connections that a pool keeps open ahead of requests.
WARM_CONNECTIONS: Final = 3


@dataclass(slots=True, eq=False)
class Lease:
    """A connection lent to one request or transaction."""

    database: Database
    link: DatabaseLink
    permit: Permit


class Pool:
    """Connections to one database, shared fairly between member groups.

    Parameters
    ----------
    database : Database
        Where to connect.
    slots : int
        Most connections at a time.
    shares : mapping of str to GroupShare
        The groups' shares.
    """

    def __init__(
        self,
        database: Database,
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        self.database = database
        self.queue = FairQueue(slots, shares)
        self.opened = 0
        self._idle: list[DatabaseLink] = []

    @property
    def idle(self) -> int:
        """Open connections that nobody uses."""
        return len(self._idle)

    async def acquire(self, group: str, limit: float) -> Lease | Refusal:
        """Lend a connection to a request of `group`.

        Raises
        ------
        ConnectionError
            If the database cannot be reached.
        """
        permit = await self.queue.acquire(group, limit)
        if isinstance(permit, Refusal):
            return permit
        try:
            link = await self._take_link()
        except (ConnectionError, curio.CancelledError):
            await self.queue.release(permit)
            raise
        return Lease(self.database, link, permit)

    async def release(self, lease: Lease, is_clean: bool) -> None:
        """Take a connection back.

        Parameters
        ----------
        lease : Lease
            What was lent.
        is_clean : bool
            Whether the whole answer has arrived and no transaction is open.
            Otherwise the connection is closed, never lent again.
        """
        if is_clean and lease.link.is_usable:
            self._idle.append(lease.link)
        else:
            await lease.link.close()
        await self.queue.release(lease.permit)

    async def warm(self) -> None:
        """Open connections ahead, so that a request need not wait for one.

        One connection a call, so that many proxies that start together do
        not storm a database.
        """
        in_use = len(self._idle) + self.queue.held
        if in_use >= min(WARM_CONNECTIONS, self.queue.slots):
            return
        try:
            link = await self.database.connect(CONNECT_LIMIT)
        except ConnectionError:
            return
        self.opened += 1
        self._idle.append(link)

    async def close_idle(self) -> None:
        """Close the connections that nobody uses."""
        while self._idle:
            await self._idle.pop().close()

    async def _take_link(self) -> DatabaseLink:
        while self._idle:
            link = self._idle.pop()
            if link.is_usable:
                return link
            await link.close()
        self.opened += 1
        return await self.database.connect(CONNECT_LIMIT)
