"""Pools of connections to backend servers."""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final, Generic, TypeVar

from deckdrum.load.eviction import DecayingUseCounts
from deckdrum.members import FairQueue, GroupShare, Permit
from deckdrum.outcomes import Refusal

#: Longest wait for a new connection.
CONNECT_TIMEOUT_S: Final = 1.0
#: Connections that a pool opens ahead of requests.
WARM_CONNECTIONS: Final = 3


@dataclass(slots=True)
class ConnectionStats:
    """Statistics of the connections of a pool.

    Attributes
    ----------
    opened : int
        Connections opened because no suitable one was idle.
    reused : int
        Idle connections that were reused.
    closed_for_room : int
        Idle connections that were closed to make room for another owner.
    """

    opened: int = 0
    reused: int = 0
    closed_for_room: int = 0


class PooledLink(ABC):
    """A connection that can be kept in a pool."""

    #: Whether it may stay open in the pool while idle.
    is_kept = True
    #: Owner, the workspace whose statements it may run; empty for none.
    workspace = ''

    @property
    @abstractmethod
    def is_usable(self) -> bool:
        """Whether the connection is open and nothing unread has arrived."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection; further calls have no effect."""

    async def hand_back(self) -> None:
        """Dispose of a clean connection that this pool does not keep."""
        await self.close()


LinkT = TypeVar('LinkT', bound=PooledLink)


class Connectable(ABC, Generic[LinkT]):
    """A server to which a pool can open connections."""

    @abstractmethod
    async def connect(self, timeout: float) -> LinkT:
        """Open a connection within `timeout` seconds.

        Raises
        ------
        ConnectionError
            If the connection cannot be opened.
        """

    async def connect_for(
        self,
        group: str,
        timeout: float,
        workspace: str | None = None,
    ) -> LinkT:
        """Open a connection on behalf of a member group.

        Only connections owned by a workspace may run its statements; with None
        any owner will do.
        """
        return await self.connect(timeout)


ServerT = TypeVar('ServerT', bound=Connectable[Any])


@dataclass(slots=True, eq=False)
class Lease(Generic[ServerT, LinkT]):
    """A connection assigned to a request or transaction."""

    database: ServerT
    link: LinkT
    permit: Permit


class Pool(Generic[ServerT, LinkT]):
    """Pool of connections to a server, shared fairly between member groups.

    Parameters
    ----------
    database : Connectable
        Server to connect to.
    slots : int
        Largest number of open connections.
    shares : mapping of str to GroupShare
        Shares of the member groups.
    """

    def __init__(
        self,
        database: ServerT,
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        self.database = database
        self.queue = FairQueue(slots, shares)
        self.stats = ConnectionStats()
        self._idle: list[LinkT] = []
        self._rates = DecayingUseCounts()

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    @property
    def has_surplus(self) -> bool:
        """Whether more connections are open than the pool has slots."""
        return len(self._idle) + self.queue.held > self.queue.slots

    def has_idle(self, workspace: str) -> bool:
        """Return whether a connection owned by a workspace is idle."""
        return any(link.workspace == workspace for link in self._idle)

    async def acquire(
        self,
        group: str,
        timeout: float,
        prefers: Callable[[LinkT], bool] | None = None,
        patience: float = math.inf,
        workspace: str | None = None,
    ) -> Lease[ServerT, LinkT] | Refusal:
        """Assign a connection to a request of `group`.

        Parameters
        ----------
        group : str
            Member group of the request.
        timeout : float
            Longest wait in the queue, in seconds.
        prefers : callable, optional
            Whether an idle connection is preferred for the request.
        patience : float, optional
            Longest wait with which the request can still meet its deadline,
            in seconds.
        workspace : str, optional
            Owner that the connection must have; any owner if not given.

        Raises
        ------
        ConnectionError
            If the database cannot be reached.
        """
        permit = await self.queue.acquire(
            group,
            timeout,
            patience,
            workspace or '',
        )
        if isinstance(permit, Refusal):
            return permit
        try:
            link = await self._get_link(group, prefers, workspace)
        except BaseException:
            await self.queue.release(permit)
            raise
        return Lease(self.database, link, permit)

    async def release(
        self,
        lease: Lease[ServerT, LinkT],
        is_clean: bool,
    ) -> None:
        """Return a connection to the pool.

        Parameters
        ----------
        lease : Lease
            Lease to end.
        is_clean : bool
            Whether the whole answer has arrived and no transaction is open.
            Otherwise the connection is closed instead of being reused.
        """
        try:
            if not is_clean or not lease.link.is_usable:
                await lease.link.close()
            elif lease.link.is_kept:
                self._idle.append(lease.link)
            else:
                await lease.link.hand_back()
        finally:
            await self.queue.release(lease.permit)

    async def warm(self) -> None:
        """Open one connection ahead of requests if fewer than wanted are open.

        More would overload a database when many proxies start at once.
        """
        open_connections = len(self._idle) + self.queue.held
        if open_connections >= min(WARM_CONNECTIONS, self.queue.slots):
            return
        try:
            link = await self.database.connect(CONNECT_TIMEOUT_S)
        except ConnectionError:
            return
        self.stats.opened += 1
        self._idle.append(link)

    async def trim(self) -> None:
        """Close idle connections in excess of the number of slots."""
        while self._idle and self.has_surplus:
            await self._idle.pop(0).close()

    async def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _get_link(
        self,
        group: str,
        prefers: Callable[[LinkT], bool] | None,
        workspace: str | None,
    ) -> LinkT:
        if workspace:
            self._rates.record_use(workspace)
        link = self._pop_idle(prefers, workspace)
        while link is not None:
            if link.is_usable:
                self.stats.reused += 1
                return link
            await link.close()
            link = self._pop_idle(prefers, workspace)
        await self._evict_idle()
        self.stats.opened += 1
        opened: LinkT = await self.database.connect_for(
            group,
            CONNECT_TIMEOUT_S,
            workspace,
        )
        return opened

    def _pop_idle(
        self,
        prefers: Callable[[LinkT], bool] | None,
        workspace: str | None,
    ) -> LinkT | None:
        """Remove the latest idle connection, preferably one that fits."""
        indexes = [
            index
            for index, link in enumerate(self._idle)
            if workspace is None or link.workspace == workspace
        ]
        if not indexes:
            return None
        best = max(
            indexes,
            key=lambda index: (
                prefers is not None and prefers(self._idle[index]),
                index,
            ),
        )
        return self._idle.pop(best)

    async def _evict_idle(self) -> None:
        """Close idle connections of the least active owners.

        This keeps the number of open connections within the slots of the pool,
        regardless of the order in which workspaces send requests.
        """
        while self._idle and self.has_surplus:
            self.stats.closed_for_room += 1
            owners = [link.workspace for link in self._idle]
            await self._idle.pop(self._rates.find_least_used(owners)).close()
