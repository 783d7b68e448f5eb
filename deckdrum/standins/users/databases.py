"""A stand-in of one service's databases, and of the call that promotes them."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.standins.users.records import Entry, ExecutedStatement
from deckdrum.standins.users.servers import (
    PRIMARY,
    REPLICA,
    DatabaseServer,
    ServerGroup,
)
from deckdrum.standins.users.store import StandinStore
from deckdrum.utils import Address
from deckdrum.utils.http import HttpServer, Reply, Request

_CONFLICT: Final = 409
#: Pause between two looks at what the replicas have received, in seconds.
_REPLICATION_POLL_INTERVAL_S: Final = 0.002


@dataclass(slots=True)
class DatabaseGroup(ServerGroup):
    """A service: a primary and its replicas.

    Attributes
    ----------
    service : str
        Its name.
    store : StandinStore
        Holds the directory.
    lag : float
        Time after which a replica receives a change, in seconds.
    work : float
        Time of one statement, in seconds.
    promote_time : float
        Time until a promoted database leads, in seconds.
    synchronous : int
        Replicas that receive a change before it is answered.
    max_connections : int
        Connections that each database accepts.
    servers : dict of str to DatabaseServer
        Its databases by id, including those that do not run.
    ran : list of Ran
        Every statement that was run, in order.
    promotions : list of tuple
        Promotions in order: server, holder and fence.
    lost_promotions : int
        Promotions, from the next one on, that are done without an answer.
    """

    service: str
    store: StandinStore
    lag: float = 0.02
    work: float = 0.005
    promotion_time: float = 0.3
    synchronous: int = 0
    max_connections: int = 23
    servers: dict[str, DatabaseServer] = field(default_factory=dict)
    ran: list[ExecutedStatement] = field(default_factory=list)
    promotions: list[tuple[str, str, int]] = field(default_factory=list)
    unanswered_promotions: int = 0
    _calls: HttpServer | None = None

    @property
    def promotion_address(self) -> Address:
        """Where promotions are taken."""
        if self._calls is None:
            raise RuntimeError('the stand-in has not been started')
        return self._calls.address

    @property
    def primary(self) -> DatabaseServer:
        """The running database with the highest term that leads."""
        leading = [
            server for server in self.servers.values() if server.role == PRIMARY
        ]
        return max(leading, key=lambda server: server.term)

    async def start(self, zones: Iterable[str]) -> None:
        """Start one database in each zone; the first leads."""
        role = PRIMARY
        for number, zone in enumerate(zones, 1):
            name = f'i-{self.service}-{number}'
            server = DatabaseServer(self, name, zone, role)
            self.servers[name] = server
            await server.start()
            role = REPLICA
        self._calls = HttpServer(Address('127.0.0.1', 0), self._promote)
        await self._calls.start()

    async def close(self) -> None:
        """Stop."""
        for server in self.servers.values():
            await server.crash()
        if self._calls is not None:
            await self._calls.close()

    async def add(self, zone: str) -> DatabaseServer:
        """Add a replica that has the whole log."""
        name = f'i-{self.service}-{len(self.servers) + 1}'
        server = DatabaseServer(self, name, zone, REPLICA)
        server.term = self.primary.term
        server.log = list(self.primary.log)
        self.servers[name] = server
        await server.start()
        return server

    async def commit(
        self,
        primary: DatabaseServer,
        writes: tuple[tuple[str, str], ...],
    ) -> None:
        """Append a change and send it to the replicas."""
        entry = Entry(primary.term, len(primary.log) + 1, writes)
        primary.log.append(entry)
        for server in self.servers.values():
            if server is not primary:
                await curio.spawn(self._send, primary, server, daemon=True)
        while self._count_received(primary, entry) < self.synchronous:
            await curio.sleep(_REPLICATION_POLL_INTERVAL_S)

    async def catch_up(self, server: DatabaseServer) -> None:
        """Give a replica the log that it lacks."""
        leading = [
            each
            for each in self.servers.values()
            if each.role == PRIMARY and each.is_running
        ]
        if leading and server.role == REPLICA:
            primary = max(leading, key=lambda each: each.term)
            await self._send(primary, server)

    async def rejoin(self, server: DatabaseServer) -> None:
        """Have a database that is back follow whoever leads, or will lead."""
        while not any(each.role == PRIMARY for each in self.servers.values()):
            await curio.sleep(_REPLICATION_POLL_INTERVAL_S)
        if self.primary is not server:
            await server.follow(self.primary.term, self.primary.log)

    def _count_received(self, primary: DatabaseServer, entry: Entry) -> int:
        """Return how many replicas have received a change."""
        return sum(
            entry in server.log[entry.number - 1 : entry.number]
            for server in self.servers.values()
            if server is not primary
        )

    async def _send(
        self,
        primary: DatabaseServer,
        server: DatabaseServer,
    ) -> None:
        await curio.sleep(self.lag)
        is_linked = primary.is_running and not primary.is_dark
        is_open = server.is_running and not server.is_replication_blocked
        is_held = server.held_term > primary.term
        if not is_linked or not is_open or is_held:
            return
        if server.role == REPLICA and server.term <= primary.term:
            server.term = primary.term
            server.log = list(primary.log)

    async def _promote(self, request: Request) -> Reply | None:
        body: Any = json.loads(request.body)
        server = self.servers.get(body['id'])
        holder = request.headers.get('x-deckdrum-holder', '')
        fence = int(request.headers.get('x-deckdrum-fence', '0'))
        if server is None or not server.is_running or server.is_dark:
            return Reply.from_text('not running', _CONFLICT)
        self.promotions.append((server.name, holder, fence))
        if server.role != PRIMARY:
            await curio.spawn(self._change, server, daemon=True)
        if self.unanswered_promotions:
            self.unanswered_promotions -= 1
            return None
        return Reply.from_text('accepted')

    async def _change(self, server: DatabaseServer) -> None:
        await curio.sleep(self.promotion_time)
        term = max(each.term for each in self.servers.values()) + 1
        await server.lead(term)
        for other in self.servers.values():
            is_live = other.is_running and not other.is_dark
            if other is server or not is_live or other.held_term:
                continue
            await other.follow(term, server.log)
