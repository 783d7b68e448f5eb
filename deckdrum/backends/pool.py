"""Pooled connections to one backend server."""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final, Generic, TypeVar

import curio

from deckdrum.load.keeping import DecayingUseCounts
from deckdrum.members import FairQueue, GroupShare, Permit
from deckdrum.outcomes import Refusal

#: Longest wait for a new connection, in seconds.
CONNECT_LIMIT: Final = 1.0
#: Connections that a pool keeps open ahead of requests.
WARM_CONNECTIONS: Final = 3


@dataclass(slots=True)
class ConnectionStats:
    """What became of connections so far.

    Attributes
    ----------
    opened : int
        Opened, since none of the workspace was idle.
    reused : int
        Found open.
    closed_for_room : int
        Idle ones that were closed for one of another workspace.
    """

    opened: int = 0
    reused: int = 0
    closed_for_room: int = 0


class PooledLink(ABC):
    """A connection that a pool can keep."""

    #: Whether it may stay open in the pool while nobody uses it.
    is_kept = True
    #: Workspace whose statements it may run; empty for none.
    workspace = ''

    @property
    @abstractmethod
    def is_usable(self) -> bool:
        """Whether the connection is open and nothing unread has arrived."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection; a second call does nothing."""

    async def hand_back(self) -> None:
        """Part from a clean connection that this node does not keep."""
        await self.close()


LinkT = TypeVar('LinkT', bound=PooledLink)


class Connectable(ABC, Generic[LinkT]):
    """A server that a pool connects to."""

    @abstractmethod
    async def connect(self, limit: float) -> LinkT:
        """Open a connection within `limit` seconds.

        Raises
        ------
        ConnectionError
            If it cannot be had.
        """

    async def connect_for(
        self,
        group: str,
        limit: float,
        workspace: str | None = None,
    ) -> LinkT:
        """Open a connection on behalf of a member group.

        Only a workspace's own connections may run its statements; with None
        it may be anybody's.
        """
        return await self.connect(limit)


ServerT = TypeVar('ServerT', bound=Connectable[Any])


@dataclass(slots=True, eq=False)
class Lease(Generic[ServerT, LinkT]):
    """A connection lent to one request or transaction."""

    database: ServerT
    link: LinkT
    permit: Permit


class Pool(Generic[ServerT, LinkT]):
    """Connections to one server, shared fairly between member groups.

    Parameters
    ----------
    database : Connectable
        Where to connect.
    slots : int
        Most connections at a time.
    shares : mapping of str to GroupShare
        The groups' shares.
    """

    def __init__(
        self,
        database: ServerT,
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        self.database = database
        self.queue = FairQueue(slots, shares)
        self.figures = ConnectionStats()
        self._idle: list[LinkT] = []
        self._rates = DecayingUseCounts()

    @property
    def idle(self) -> int:
        """Open connections that nobody uses."""
        return len(self._idle)

    @property
    def has_surplus(self) -> bool:
        """Whether more connections are open than there are slots."""
        return len(self._idle) + self.queue.held > self.queue.slots

    def has_idle(self, workspace: str) -> bool:
        """Tell whether a connection of a workspace is open and unused."""
        return any(link.workspace == workspace for link in self._idle)

    async def acquire(
        self,
        group: str,
        limit: float,
        fits: Callable[[LinkT], bool] | None = None,
        patience: float = math.inf,
        workspace: str | None = None,
    ) -> Lease[ServerT, LinkT] | Refusal:
        """Lend a connection to a request of `group`.

        Parameters
        ----------
        group : str
            The member group that asks.
        limit : float
            Longest wait in the queue, in seconds.
        fits : callable, optional
            Tells which idle connections suit the request best.
        patience : float, optional
            Longest wait after which the request can be in time, in seconds.
        workspace : str, optional
            Whose the connection must be; without it may be anybody's.

        Raises
        ------
        ConnectionError
            If the database cannot be reached.
        """
        permit = await self.queue.acquire(
            group,
            limit,
            patience,
            workspace or '',
        )
        if isinstance(permit, Refusal):
            return permit
        try:
            link = await self._take_link(group, fits, workspace)
        except (ConnectionError, curio.CancelledError):
            await self.queue.release(permit)
            raise
        return Lease(self.database, link, permit)

    async def release(
        self,
        lease: Lease[ServerT, LinkT],
        is_clean: bool,
    ) -> None:
        """Take a connection back.

        Parameters
        ----------
        lease : Lease
            What was lent.
        is_clean : bool
            Whether the whole answer has arrived and no transaction is open.
            Otherwise the connection is closed, never lent again.
        """
        if not is_clean or not lease.link.is_usable:
            await lease.link.close()
        elif lease.link.is_kept:
            self._idle.append(lease.link)
        else:
            await lease.link.hand_back()
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
        self.figures.opened += 1
        self._idle.append(link)

    async def trim(self) -> None:
        """Close idle connections beyond the number of slots."""
        while self._idle and self.has_surplus:
            await self._idle.pop(0).close()

    async def close_idle(self) -> None:
        """Close the connections that nobody uses."""
        while self._idle:
            await self._idle.pop().close()

    async def _take_link(
        self,
        group: str,
        fits: Callable[[LinkT], bool] | None,
        workspace: str | None,
    ) -> LinkT:
        if workspace:
            self._rates.note(workspace)
        link = self._pick_idle(fits, workspace)
        while link is not None:
            if link.is_usable:
                self.figures.reused += 1
                return link
            await link.close()
            link = self._pick_idle(fits, workspace)
        await self._make_room()
        self.figures.opened += 1
        opened: LinkT = await self.database.connect_for(
            group,
            CONNECT_LIMIT,
            workspace,
        )
        return opened

    def _pick_idle(
        self,
        fits: Callable[[LinkT], bool] | None,
        workspace: str | None,
    ) -> LinkT | None:
        """Take the latest idle connection, of those that fit if any does."""
        places = [
            place
            for place, link in enumerate(self._idle)
            if workspace is None or link.workspace == workspace
        ]
        if not places:
            return None
        best = max(
            places,
            key=lambda place: (
                fits is not None and fits(self._idle[place]),
                place,
            ),
        )
        return self._idle.pop(best)

    async def _make_room(self) -> None:
        """Close what is least used in place of the one to be opened.

        So no more are open than are dealt to this pool, whatever workspaces
        ask in turn.
        """
        while self._idle and self.has_surplus:
            self.figures.closed_for_room += 1
            owners = [link.workspace for link in self._idle]
            await self._idle.pop(self._rates.find_least_used(owners)).close()
