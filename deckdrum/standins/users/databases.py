"""A stand-in of one service's databases, and of the call that promotes them."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.standins.users.store import StandinStore
from deckdrum.utils import Address, Listener, Stream
from deckdrum.utils.http import HttpServer, Reply, Request

#: Longer than any test runs, in seconds.
_FOREVER: Final = 3600.0
_CONFLICT: Final = 409
_END: Final = b'\r\n'
PRIMARY: Final = 'primary'
REPLICA: Final = 'replica'
_TEXT_WORDS: Final = frozenset(
    ('STATUS', 'PAUSE', 'RESUME', 'DEMOTE', 'RESET'),
)


@dataclass(frozen=True, slots=True)
class Entry:
    """A committed change: its term and number, and who wrote what."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Ran:
    """A statement that a database has run, with the log it ran on."""

    server: str
    request_id: str
    text: str
    log_end: int
    values: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class _Connection:
    """State of one connection to a database."""

    stream: Stream
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    transaction: str = ''
    begun_term: int = 0
    writes: list[tuple[str, str]] = field(default_factory=list)
    has_failed: bool = False

    @property
    def state(self) -> str:
        """State letter of the answer's end."""
        if not self.transaction:
            return 'I'
        return 'E' if self.has_failed else 'T'


class DatabaseServer:
    """One database.

    Parameters
    ----------
    group : DatabaseGroup
        Its service.
    name : str
        Its id.
    zone : str
        Where it runs.
    role : str
        ``primary`` or ``replica``.
    """

    def __init__(
        self,
        group: 'DatabaseGroup',
        name: str,
        zone: str,
        role: str,
    ) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.role = role
        self.term = 1
        self.log: list[Entry] = []
        self.held_term = 0
        #: Whether it answers nothing, as without power.
        self.is_dark = False
        #: Whether it receives nothing from the primary.
        self.is_deaf = False
        #: Answers to lose: what runs next is not answered.
        self.lost_answers = 0
        #: Rejections to give before anything else is run.
        self.rejections: list[str] = []
        self.state = 'ready'
        self._connections: set[Stream] = set()
        self._listener: Listener | None = None
        self._address = Address('127.0.0.1', 0)

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._address

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._listener is not None

    async def start(self) -> None:
        """Listen and enter the directory."""
        self._listener = Listener(self._address, self._serve)
        await self._listener.start()
        self._address = self._listener.address
        self.held_term = 0
        await self.publish()

    async def crash(self) -> None:
        """End the process: its port refuses."""
        if self._listener is not None:
            listener = self._listener
            self._listener = None
            await listener.close()

    async def publish(self) -> None:
        """Write the entry in the directory."""
        await self.group.store.write(
            'servers',
            self.name,
            {
                'service': self.group.service,
                'address': str(self._address),
                'zone': self.zone,
                'version': 'v1',
                'slots': 3,
                'state': self.state,
                'coldLeftMs': 0,
                'dbRole': self.role,
                'seq': 1,
            },
        )

    async def drain(self) -> None:
        """Announce a planned end."""
        self.state = 'draining'
        await self.publish()

    @property
    def log_end(self) -> str:
        """Position of the end of the log."""
        return f'{self.term}.{len(self.log)}'

    async def lead(self, term: int) -> None:
        """Become primary."""
        self.role = PRIMARY
        self.term = term
        self.held_term = 0
        await self.publish()

    async def follow(self, term: int, log: Iterable[Entry]) -> None:
        """Become or stay a replica of a term with a log."""
        self.role = REPLICA
        self.term = term
        self.log = list(log)
        await self.publish()

    async def _serve(self, stream: Stream) -> None:
        connection = _Connection(stream)
        buffer = bytearray()
        line = await _read_line(stream, buffer)
        if line is None or not await self._open(stream, line):
            return
        try:
            while line := await _read_line(stream, buffer):
                await self._stay_dark()
                await self._answer(connection, line)
        finally:
            self._connections.discard(stream)

    async def _stay_dark(self) -> None:
        if self.is_dark:
            await curio.sleep(_FOREVER)

    async def _open(self, stream: Stream, line: str) -> bool:
        await self._stay_dark()
        fields = line.split(' ')
        wanted = fields[3] if len(fields) > 3 else self.name
        if fields[1] != self.group.service or wanted != self.name:
            await stream.send(f'ERROR MISROUTED {self.name}\r\n'.encode())
            return False
        if len(self._connections) >= self.group.max_connections:
            await stream.send(b'ERROR TOOMANY connections\r\n')
            return False
        self._connections.add(stream)
        await stream.send(f'READY I {self.log_end}\r\n'.encode())
        return True

    async def _answer(self, connection: _Connection, line: str) -> None:
        _, request_id, text = line.split(' ', 2)
        word = text.split(' ', 1)[0]
        is_work = word in {'READ', 'WRITE', 'EXECUTE', 'COMMIT', 'AFTER'}
        if is_work:
            await curio.sleep(self.group.work)
        if is_work and self.rejections:
            answer = self._reject(connection, self.rejections.pop(0))
        else:
            answer = await self._run(connection, request_id, text)
        if is_work and self.lost_answers:
            self.lost_answers -= 1
            await curio.sleep(_FOREVER)
        ready = f'READY {connection.state} {self.log_end}\r\n'
        await connection.stream.send((answer + ready).encode())

    async def _run(
        self,
        connection: _Connection,
        request_id: str,
        text: str,
    ) -> str:
        word, _, rest = text.partition(' ')
        if word == 'AFTER':
            floor, _, text = rest.partition(' ')
            if not self._has(floor):
                return self._reject(connection, 'LAGGING')
            return await self._run(connection, request_id, text)
        if word in _TEXT_WORDS:
            return await self._control(connection, word, rest)
        if word in {'BEGIN', 'ROLLBACK', 'COMMIT'}:
            return await self._transact(connection, request_id, word, rest)
        if word in {'SET', 'PREPARE', 'DEALLOCATE'}:
            return _remember(connection, word, rest)
        return await self._work(connection, request_id, text)

    async def _control(
        self,
        connection: _Connection,
        word: str,
        rest: str,
    ) -> str:
        if word == 'RESET':
            connection.values.clear()
            connection.prepared.clear()
            return 'COMPLETE -\r\n'
        if word == 'PAUSE' and self.role == REPLICA:
            self.held_term = max(self.held_term, int(rest))
        elif word == 'RESUME':
            self.held_term = 0
            await self.group.catch_up(self)
        elif word == 'DEMOTE' and int(rest) > self.term:
            self.role = REPLICA
            await self.publish()
        count = len(self._connections)
        row = (
            f'{self.role} {self.term} {self.log_end} {self.held_term} '
            f'0 0 {count}'
        )
        return f'ROW {row}\r\nCOMPLETE -\r\n'

    async def _transact(
        self,
        connection: _Connection,
        request_id: str,
        word: str,
        rest: str,
    ) -> str:
        if word == 'BEGIN':
            if rest != 'READ' and self.role != PRIMARY:
                return self._reject(connection, 'READONLY')
            connection.transaction = rest or 'WRITE'
            connection.begun_term = self.term
            connection.has_failed = False
            connection.writes = []
            return 'COMPLETE -\r\n'
        writes = connection.writes
        has_failed = connection.has_failed
        connection.transaction = ''
        connection.writes = []
        if word == 'ROLLBACK' or has_failed:
            return 'COMPLETE -\r\n'
        if writes and self.role != PRIMARY:
            return self._reject(connection, 'READONLY')
        if writes:
            await self.group.commit(self, tuple(writes))
        return self._complete(connection, request_id, word)

    async def _work(
        self,
        connection: _Connection,
        request_id: str,
        text: str,
    ) -> str:
        word, _, rest = text.partition(' ')
        if word == 'EXECUTE':
            name, _, arguments = rest.partition(' ')
            if name not in connection.prepared:
                return self._reject(connection, 'NOSTMT')
            word = connection.prepared[name][0]
            rest = arguments
        if word == 'WRITE':
            if self.role != PRIMARY:
                return self._reject(connection, 'READONLY')
            connection.writes.append((request_id, rest))
            if not connection.transaction:
                writes = tuple(connection.writes)
                connection.writes = []
                await self.group.commit(self, writes)
            return self._complete(connection, request_id, text)
        if connection.transaction == 'WRITE' and self.role != PRIMARY:
            return self._reject(connection, 'READONLY')
        answer = self._complete(connection, request_id, text)
        return f'ROW {rest}-{len(self.log)}\r\n{answer}'

    def _complete(
        self,
        connection: _Connection,
        request_id: str,
        text: str,
    ) -> str:
        ran = Ran(
            self.name,
            request_id,
            text,
            len(self.log),
            tuple(sorted(connection.values.items())),
        )
        self.group.ran.append(ran)
        return f'COMPLETE {self.name}.{len(self.group.ran)}\r\n'

    def _reject(self, connection: _Connection, word: str) -> str:
        if connection.transaction:
            connection.has_failed = True
        return f'ERROR {word} {self.name}\r\n'

    def _has(self, floor: str) -> bool:
        term, _, number = floor.partition('.')
        return int(term) <= self.term and int(number) <= len(self.log)


@dataclass(slots=True)
class DatabaseGroup:
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
    """

    service: str
    store: StandinStore
    lag: float = 0.02
    work: float = 0.005
    promote_time: float = 0.3
    synchronous: int = 0
    max_connections: int = 23
    servers: dict[str, DatabaseServer] = field(default_factory=dict)
    ran: list[Ran] = field(default_factory=list)
    #: Promotions in order: server, holder and fence.
    promotions: list[tuple[str, str, int]] = field(default_factory=list)
    #: Answers to promotions that are lost.
    lost_promotions: int = 0
    _calls: HttpServer | None = None

    @property
    def calls_address(self) -> Address:
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
        sending = [
            await curio.spawn(self._send, primary, server, daemon=True)
            for server in self.servers.values()
            if server is not primary
        ]
        for task in sending[: self.synchronous]:
            await task.join()

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

    async def _send(
        self,
        primary: DatabaseServer,
        server: DatabaseServer,
    ) -> None:
        await curio.sleep(self.lag)
        is_linked = primary.is_running and not primary.is_dark
        is_open = server.is_running and not server.is_deaf
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
        if self.lost_promotions:
            self.lost_promotions -= 1
            return None
        return Reply.from_text('accepted')

    async def _change(self, server: DatabaseServer) -> None:
        await curio.sleep(self.promote_time)
        term = max(each.term for each in self.servers.values()) + 1
        await server.lead(term)
        for other in self.servers.values():
            is_live = other.is_running and not other.is_dark
            if other is server or not is_live or other.held_term:
                continue
            await other.follow(term, server.log)


def _remember(connection: _Connection, word: str, rest: str) -> str:
    name, _, value = rest.partition(' ')
    if word == 'SET':
        connection.values[name] = value
    elif word == 'PREPARE':
        effect, _, shape = value.partition(' ')
        connection.prepared[name] = (effect, shape)
    else:
        connection.prepared.pop(name, None)
    return 'COMPLETE -\r\n'


async def _read_line(stream: Stream, buffer: bytearray) -> str | None:
    while _END not in buffer:
        chunk = await stream.receive()
        if not chunk:
            return None
        buffer.extend(chunk)
    end = buffer.index(_END)
    line = buffer[:end].decode()
    del buffer[: end + len(_END)]
    return line
