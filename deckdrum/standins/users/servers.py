"""A stand-in for one database server of the users."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

import curio

from deckdrum.standins.users.connections import (
    Connection,
    execute_session_statement,
)
from deckdrum.standins.users.lines import read_line
from deckdrum.standins.users.records import Entry, ExecutedStatement
from deckdrum.standins.users.store import HANG_DURATION_S, StandinStore
from deckdrum.utils import Address, Listener, Stream

PRIMARY: Final = 'primary'
REPLICA: Final = 'replica'
#: Start time of a new database, and by how much a restart advances it.
FIRST_START_UNIX_MS: Final = 1_764_730_000_000
RESTART_DELAY_MS: Final = 60_000
_CONNECTIVITY_POLL_INTERVAL_S: Final = 0.005
#: Commands with an execution time; rejections and lost answers apply to them.
_TIMED_COMMANDS: Final = frozenset(
    ('READ', 'WRITE', 'EXECUTE', 'COMMIT', 'AFTER')
)
#: Commands that query or change the state of server or connection.
_CONTROL_COMMANDS: Final = frozenset(
    ('STATUS', 'PAUSE', 'RESUME', 'DEMOTE', 'RESET'),
)
_TRANSACTION_COMMANDS: Final = frozenset(('BEGIN', 'ROLLBACK', 'COMMIT'))
_SESSION_COMMANDS: Final = frozenset(('SET', 'PREPARE', 'DEALLOCATE'))


class Connectivity(Enum):
    """How a partition treats a database's messages; it sends no log in any.

    Messages that wait are handled once the partition heals.
    """

    OPEN = 'open'
    #: Requests arrive, and answers wait.
    ONE_WAY = 'one way'
    #: Requests and answers wait.
    CUT_OFF = 'cut off'


class ServerGroup(ABC):
    """Interface of a server to its group.

    Attributes
    ----------
    service : str
        Name of the service.
    store : StandinStore
        Store that holds the server directory.
    statement_time : float
        Execution time of a statement, in seconds.
    max_connections : int
        Connection limit of each database.
    host : str
        Loopback address of the databases.
    padding_rows, padding_row_bytes : int
        Number and size of the rows that follow the row of a read.
    executed_statements : list of ExecutedStatement
        Executed statements of all databases, in order.
    """

    service: str
    store: StandinStore
    statement_time: float
    max_connections: int
    host: str
    padding_rows: int
    padding_row_bytes: int
    executed_statements: list[ExecutedStatement]

    @abstractmethod
    async def commit(
        self,
        primary: 'DatabaseServer',
        writes: tuple[tuple[str, str], ...],
    ) -> bool:
        """Append a change to the log of the primary and replicate it.

        Returns whether the change was received by enough replicas before the
        primary stepped down.
        """

    @abstractmethod
    def is_replaced(self, server: 'DatabaseServer') -> bool:
        """Return whether another database became primary of a later term."""

    @abstractmethod
    async def catch_up(self, server: 'DatabaseServer') -> None:
        """Replicate the log of the running primary to a replica."""


@dataclass(slots=True)
class ServerLoad:
    """Overload conditions of a database, set by tests.

    Attributes
    ----------
    is_full : bool
        Whether every statement is rejected as BUSY.
    status_delay : float
        Delay of the answer to STATUS, in seconds.
    refused_connections : int
        Number of connections rejected at the connection limit.
    """

    is_full: bool = False
    status_delay: float = 0
    refused_connections: int = 0


class DatabaseServer:
    """One database server.

    Parameters
    ----------
    group : ServerGroup
        Group of the server.
    name : str
        Server id.
    zone : str
        Data centre.
    role : str
        ``primary`` or ``replica``.
    """

    #: How a partition treats its messages; set by tests.
    connectivity = Connectivity.OPEN

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
        self.fenced_term = 0
        #: Whether nothing is answered, as after a loss of power.
        self.is_unresponsive = False
        #: Whether replication from the primary is blocked.
        self.is_replication_blocked = False
        self.load = ServerLoad()
        #: Number of upcoming statements that are executed but not answered.
        self.lost_answers = 0
        #: Error codes for upcoming statements, which are not executed.
        self.rejections: list[str] = []
        self.state = 'ready'
        #: Address for the directory, if not the listening address.
        self.advertised_address: Address | None = None
        #: Whether `publish` writes the directory entry.
        self.is_listed = True
        #: Start time in Unix milliseconds.
        self._started_at_ms = FIRST_START_UNIX_MS
        self._connections: set[Stream] = set()
        self._listener: Listener | None = None
        self._address = Address(group.host, 0)

    @property
    def address(self) -> Address:
        """Address on which the server listens."""
        return self._address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def is_running(self) -> bool:
        """Whether the server accepts connections."""
        return self._listener is not None

    @property
    def can_be_reached(self) -> bool:
        """Whether it runs, answers and is not partitioned."""
        is_connected = self.connectivity is Connectivity.OPEN
        return self.is_running and is_connected and not self.is_unresponsive

    async def start(self) -> None:
        """Start listening and publish the directory entry.

        A crashed primary keeps its log and returns as a replica if another
        database was promoted meanwhile.
        """
        if self.role == PRIMARY and self.group.is_replaced(self):
            self.role = REPLICA
        await self._listen()
        await curio.spawn(self.group.catch_up, self, daemon=True)

    async def crash(self) -> None:
        """Stop at once: connections are closed, new ones refused."""
        if self._listener is not None:
            listener = self._listener
            self._listener = None
            await listener.close()

    async def restart_empty(self, role: str = REPLICA) -> None:
        """Restart with an empty log under the same id and address.

        The server reports `role` in the first term.
        """
        await self.crash()
        self._started_at_ms += RESTART_DELAY_MS
        self.role = role
        self.term = 1
        self.log = []
        await self._listen()

    async def publish(self) -> None:
        """Write the directory entry, if listed."""
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
        """Announce a planned shutdown in the directory."""
        self.state = 'draining'
        await self.publish()

    @property
    def log_end(self) -> str:
        """Position of the end of the log."""
        return f'{self.term}.{len(self.log)}'

    async def become_primary(self, term: int) -> None:
        """Become the primary of `term`."""
        self.role = PRIMARY
        self.term = term
        self.fenced_term = 0
        await self.publish()

    async def follow(self, term: int, log: Iterable[Entry]) -> None:
        """Become a replica in `term` with the given log."""
        self.role = REPLICA
        self.term = term
        self.log = list(log)
        await self.publish()

    async def _listen(self) -> None:
        self._listener = Listener(self._address, self._serve)
        await self._listener.start()
        self._address = self._listener.address
        self.fenced_term = 0
        await self.publish()

    async def _serve(self, stream: Stream) -> None:
        buffer = bytearray()
        line = await read_line(stream, buffer)
        if line is None or not await self._accept_connection(stream, line):
            return
        connection = Connection(stream, line.split(' ')[2])
        try:
            while line := await read_line(stream, buffer):
                await self._hang_if_unresponsive()
                await self._handle_line(connection, line)
        finally:
            self._connections.discard(stream)

    async def _hang_if_unresponsive(self) -> None:
        if self.is_unresponsive:
            await curio.sleep(HANG_DURATION_S)
        while self.connectivity is Connectivity.CUT_OFF:
            await curio.sleep(_CONNECTIVITY_POLL_INTERVAL_S)

    async def _accept_connection(self, stream: Stream, line: str) -> bool:
        await self._hang_if_unresponsive()
        fields = line.split(' ')
        requested_server = fields[3] if len(fields) > 3 else self.name
        if fields[1] != self.group.service or requested_server != self.name:
            await stream.send(f'ERROR MISROUTED {self.name}\r\n'.encode())
            return False
        if len(self._connections) >= self.group.max_connections:
            self.load.refused_connections += 1
            await stream.send(b'ERROR TOOMANY connections\r\n')
            return False
        self._connections.add(stream)
        await stream.send(f'READY I {self.log_end}\r\n'.encode())
        return True

    async def _handle_line(self, connection: Connection, line: str) -> None:
        _, request_id, text = line.split(' ', 2)
        command = text.split(' ', 1)[0]
        is_timed = command in _TIMED_COMMANDS
        if is_timed:
            await curio.sleep(self.group.statement_time)
        if command == 'STATUS':
            await curio.sleep(self.load.status_delay)
        if self.load.is_full:
            answer = self._reject(connection, 'BUSY')
        elif is_timed and self.rejections:
            answer = self._reject(connection, self.rejections.pop(0))
        else:
            answer = await self._dispatch(connection, request_id, text)
        if is_timed and self.lost_answers:
            self.lost_answers -= 1
            await curio.sleep(HANG_DURATION_S)
        while self.connectivity is not Connectivity.OPEN:
            await curio.sleep(_CONNECTIVITY_POLL_INTERVAL_S)
        ready = f'READY {connection.state} {self.log_end}\r\n'
        await connection.stream.send((answer + ready).encode())

    async def _dispatch(
        self,
        connection: Connection,
        request_id: str,
        text: str,
    ) -> str:
        command, _, arguments = text.partition(' ')
        if command == 'AFTER':
            min_position, _, text = arguments.partition(' ')
            if not self._includes_position(min_position):
                return self._reject(connection, 'LAGGING')
            return await self._dispatch(connection, request_id, text)
        if command in _CONTROL_COMMANDS:
            return await self._handle_control_command(
                connection, command, arguments
            )
        if command in _TRANSACTION_COMMANDS:
            return await self._handle_transaction_command(
                connection, request_id, command, arguments
            )
        if command in _SESSION_COMMANDS:
            return execute_session_statement(connection, command, arguments)
        return await self._execute_statement(connection, request_id, text)

    async def _handle_control_command(
        self,
        connection: Connection,
        command: str,
        arguments: str,
    ) -> str:
        if command == 'RESET':
            connection.values.clear()
            connection.prepared.clear()
            return 'COMPLETE -\r\n'
        if command == 'PAUSE' and self.role == REPLICA:
            # Ignored for a term that the replica already follows.
            is_newer_term = int(arguments) > self.term
            self.fenced_term = (
                int(arguments) if is_newer_term else self.fenced_term
            )
        elif command == 'RESUME':
            self.fenced_term = 0
            await self.group.catch_up(self)
        elif command == 'DEMOTE' and int(arguments) > self.term:
            self.role = REPLICA
            await self.publish()
            await curio.spawn(self.group.catch_up, self, daemon=True)
        count = len(self._connections)
        row = (
            f'{self.role} {self.term} {self.log_end} {self.fenced_term} '
            f'0 0 {count}'
        )
        return f'ROW {row}\r\nCOMPLETE -\r\n'

    async def _handle_transaction_command(
        self,
        connection: Connection,
        request_id: str,
        command: str,
        arguments: str,
    ) -> str:
        if command == 'BEGIN':
            if arguments != 'READ' and self.role != PRIMARY:
                return self._reject(connection, 'READONLY')
            connection.transaction = arguments or 'WRITE'
            connection.begun_term = self.term
            connection.is_aborted = False
            connection.writes = []
            return 'COMPLETE -\r\n'
        writes = connection.writes
        is_aborted = connection.is_aborted
        connection.transaction = ''
        connection.writes = []
        if command == 'ROLLBACK' or is_aborted:
            return 'COMPLETE -\r\n'
        if writes and self.role != PRIMARY:
            return self._reject(connection, 'READONLY')
        if writes and not await self.group.commit(self, tuple(writes)):
            return self._reject(connection, 'FAILED')
        return self._record_execution(connection, request_id, command)

    async def _execute_statement(
        self,
        connection: Connection,
        request_id: str,
        text: str,
    ) -> str:
        command, _, arguments = text.partition(' ')
        shape = ''
        if command == 'EXECUTE':
            name, _, statement_arguments = arguments.partition(' ')
            if name not in connection.prepared:
                return self._reject(connection, 'NOSTMT')
            command, shape = connection.prepared[name]
            arguments = statement_arguments
        if command == 'WRITE':
            if self.role != PRIMARY:
                return self._reject(connection, 'READONLY')
            connection.writes.append((request_id, arguments))
            if not connection.transaction:
                writes = tuple(connection.writes)
                connection.writes = []
                if not await self.group.commit(self, writes):
                    return self._reject(connection, 'FAILED')
            return self._record_execution(connection, request_id, text, shape)
        if connection.transaction == 'WRITE' and self.role != PRIMARY:
            return self._reject(connection, 'READONLY')
        answer = self._record_execution(connection, request_id, text, shape)
        padding = 'x' * self.group.padding_row_bytes
        rows = f'ROW {padding}\r\n' * self.group.padding_rows
        return f'ROW {arguments}-{len(self.log)}\r\n{rows}{answer}'

    def _record_execution(
        self,
        connection: Connection,
        request_id: str,
        text: str,
        shape: str = '',
    ) -> str:
        ran = ExecutedStatement(
            self.name,
            request_id,
            text,
            len(self.log),
            tuple(sorted(connection.values.items())),
            connection.who,
            shape,
        )
        self.group.executed_statements.append(ran)
        return f'COMPLETE {self.name}.{len(self.group.executed_statements)}\r\n'

    def _reject(self, connection: Connection, code: str) -> str:
        # A statement that was not run for want of capacity leaves the
        # transaction open.
        if connection.transaction and code != 'BUSY':
            connection.is_aborted = True
        return f'ERROR {code} {self.name}\r\n'

    def _includes_position(self, min_position: str) -> bool:
        term, _, offset = min_position.partition('.')
        return int(term) <= self.term and int(offset) <= len(self.log)
