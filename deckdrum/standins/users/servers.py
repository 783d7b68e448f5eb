"""A stand-in of one database of the users."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.standins.users.connections import Connection, remember
from deckdrum.standins.users.lines import read_line
from deckdrum.standins.users.records import Entry, ExecutedStatement
from deckdrum.standins.users.store import HANG_DURATION_S, StandinStore
from deckdrum.utils import Address, Listener, Stream

PRIMARY: Final = 'primary'
REPLICA: Final = 'replica'
#: When a database first started, and how much later it starts again, in ms.
FIRST_START_UNIX_MS: Final = 1_764_730_000_000
RESTART_DELAY_MS: Final = 60_000
#: Statements that take the database's time, so that a fault can hit them.
_WORK_WORDS: Final = frozenset(('READ', 'WRITE', 'EXECUTE', 'COMMIT', 'AFTER'))
#: Statements that ask for or change the state of the database itself.
_CONTROL_WORDS: Final = frozenset(
    ('STATUS', 'PAUSE', 'RESUME', 'DEMOTE', 'RESET'),
)
_TRANSACTION_WORDS: Final = frozenset(('BEGIN', 'ROLLBACK', 'COMMIT'))
_SESSION_WORDS: Final = frozenset(('SET', 'PREPARE', 'DEALLOCATE'))


class ServerGroup(ABC):
    """What a database needs of its group.

    Attributes
    ----------
    service : str
        Name of the group.
    store : StandinStore
        Holds the directory.
    work : float
        Time of one statement, in seconds.
    max_connections : int
        Connections that each database accepts.
    ran : list of Ran
        Every statement that was run, in order.
    """

    service: str
    store: StandinStore
    work: float
    max_connections: int
    ran: list[ExecutedStatement]

    @abstractmethod
    async def commit(
        self,
        primary: 'DatabaseServer',
        writes: tuple[tuple[str, str], ...],
    ) -> None:
        """Append a change and send it to the replicas."""

    @abstractmethod
    async def catch_up(self, server: 'DatabaseServer') -> None:
        """Give a replica the log that it lacks."""


@dataclass(slots=True)
class Load:
    """How busy a database is.

    Attributes
    ----------
    is_full : bool
        Whether it refuses every statement for want of room.
    status_delay : float
        How long a question about itself waits, in seconds.
    refused_connections : int
        Connections that it refused for want of room.
    """

    is_full: bool = False
    status_delay: float = 0
    refused_connections: int = 0


class DatabaseServer:
    """One database.

    Parameters
    ----------
    group : ServerGroup
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
        group: ServerGroup,
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
        self.is_replication_blocked = False
        self.load = Load()
        #: Answers to lose: what runs next is not answered.
        self.lost_answers = 0
        #: Rejections to give before anything else is run.
        self.rejections: list[str] = []
        self.state = 'ready'
        #: Where others are told to connect, if not straight to it.
        self.advertised_address: Address | None = None
        #: Whether it keeps its entry in the directory.
        self.is_listed = True
        #: When it started, in Unix milliseconds.
        self._started_at_ms = FIRST_START_UNIX_MS
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

    async def restart_empty(self, role: str = REPLICA) -> None:
        """Start again under the same id and address, knowing nothing.

        It says that it has a `role`, in the first term.
        """
        await self.crash()
        self._started_at_ms += RESTART_DELAY_MS
        self.role = role
        self.term = 1
        self.log = []
        await self.start()

    async def publish(self) -> None:
        """Write the entry in the directory."""
        if not self.is_listed:
            return
        await self.group.store.write(
            'servers',
            self.name,
            {
                'service': self.group.service,
                'address': str(self.advertised_address or self._address),
                'zone': self.zone,
                'version': 'v1',
                'slots': 3,
                'state': self.state,
                'coldLeftMs': 0,
                'dbRole': self.role,
                'seq': 1,
                'born': self._started_at_ms,
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
        buffer = bytearray()
        line = await read_line(stream, buffer)
        if line is None or not await self._open(stream, line):
            return
        connection = Connection(stream, line.split(' ')[2])
        try:
            while line := await read_line(stream, buffer):
                await self._stay_dark()
                await self._answer(connection, line)
        finally:
            self._connections.discard(stream)

    async def _stay_dark(self) -> None:
        if self.is_dark:
            await curio.sleep(HANG_DURATION_S)

    async def _open(self, stream: Stream, line: str) -> bool:
        await self._stay_dark()
        fields = line.split(' ')
        wanted = fields[3] if len(fields) > 3 else self.name
        if fields[1] != self.group.service or wanted != self.name:
            await stream.send(f'ERROR MISROUTED {self.name}\r\n'.encode())
            return False
        if len(self._connections) >= self.group.max_connections:
            self.load.refused_connections += 1
            await stream.send(b'ERROR TOOMANY connections\r\n')
            return False
        self._connections.add(stream)
        await stream.send(f'READY I {self.log_end}\r\n'.encode())
        return True

    async def _answer(self, connection: Connection, line: str) -> None:
        _, request_id, text = line.split(' ', 2)
        word = text.split(' ', 1)[0]
        is_work = word in _WORK_WORDS
        if is_work:
            await curio.sleep(self.group.work)
        if word == 'STATUS':
            await curio.sleep(self.load.status_delay)
        if self.load.is_full:
            answer = self._reject(connection, 'BUSY')
        elif is_work and self.rejections:
            answer = self._reject(connection, self.rejections.pop(0))
        else:
            answer = await self._run(connection, request_id, text)
        if is_work and self.lost_answers:
            self.lost_answers -= 1
            await curio.sleep(HANG_DURATION_S)
        ready = f'READY {connection.state} {self.log_end}\r\n'
        await connection.stream.send((answer + ready).encode())

    async def _run(
        self,
        connection: Connection,
        request_id: str,
        text: str,
    ) -> str:
        word, _, rest = text.partition(' ')
        if word == 'AFTER':
            floor, _, text = rest.partition(' ')
            if not self._has(floor):
                return self._reject(connection, 'LAGGING')
            return await self._run(connection, request_id, text)
        if word in _CONTROL_WORDS:
            return await self._control(connection, word, rest)
        if word in _TRANSACTION_WORDS:
            return await self._transact(connection, request_id, word, rest)
        if word in _SESSION_WORDS:
            return remember(connection, word, rest)
        return await self._work(connection, request_id, text)

    async def _control(
        self,
        connection: Connection,
        word: str,
        rest: str,
    ) -> str:
        if word == 'RESET':
            connection.values.clear()
            connection.prepared.clear()
            return 'COMPLETE -\r\n'
        if word == 'PAUSE' and self.role == REPLICA:
            # Without effect for a term that it follows already.
            is_newer = int(rest) > self.term
            self.held_term = int(rest) if is_newer else self.held_term
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
        connection: Connection,
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
        connection: Connection,
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
        connection: Connection,
        request_id: str,
        text: str,
    ) -> str:
        ran = ExecutedStatement(
            self.name,
            request_id,
            text,
            len(self.log),
            tuple(sorted(connection.values.items())),
            connection.who,
        )
        self.group.ran.append(ran)
        return f'COMPLETE {self.name}.{len(self.group.ran)}\r\n'

    def _reject(self, connection: Connection, word: str) -> str:
        if connection.transaction:
            connection.has_failed = True
        return f'ERROR {word} {self.name}\r\n'

    def _has(self, floor: str) -> bool:
        term, _, number = floor.partition('.')
        return int(term) <= self.term and int(number) <= len(self.log)
