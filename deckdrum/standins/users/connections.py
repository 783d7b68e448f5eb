"""What a database keeps about one of its connections."""

from dataclasses import dataclass, field

from deckdrum.utils import Stream


@dataclass(slots=True)
class Connection:
    """State of one connection to a database."""

    stream: Stream
    #: For whom it was opened.
    who: str = ''
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


def remember(connection: Connection, word: str, rest: str) -> str:
    """Keep or drop a value or prepared statement; return the answer."""
    name, _, value = rest.partition(' ')
    if word == 'SET':
        connection.values[name] = value
    elif word == 'PREPARE':
        effect, _, shape = value.partition(' ')
        connection.prepared[name] = (effect, shape)
    else:
        connection.prepared.pop(name, None)
    return 'COMPLETE -\r\n'
