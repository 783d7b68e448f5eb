"""Connection state of a stand-in database."""

from dataclasses import dataclass, field

from deckdrum.utils import Stream


@dataclass(slots=True)
class Connection:
    """State of one connection to a database."""

    stream: Stream
    #: Workspace for which the connection was opened.
    who: str = ''
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    transaction: str = ''
    begun_term: int = 0
    writes: list[tuple[str, str]] = field(default_factory=list)
    is_aborted: bool = False

    @property
    def state(self) -> str:
        """Transaction status letter of a READY line."""
        if not self.transaction:
            return 'I'
        return 'E' if self.is_aborted else 'T'


def execute_session_statement(
    connection: Connection, command: str, arguments: str
) -> str:
    """Execute SET, PREPARE or DEALLOCATE; return the answer."""
    name, _, value = arguments.partition(' ')
    if command == 'SET':
        connection.values[name] = value
    elif command == 'PREPARE':
        effect, _, shape = value.partition(' ')
        connection.prepared[name] = (effect, shape)
    else:
        connection.prepared.pop(name, None)
    return 'COMPLETE -\r\n'
