"""Log entries, and events of the databases for the checks of tests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Entry:
    """A committed change; `writes` holds request ids and what they wrote."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ExecutedStatement:
    """A statement that a database executed, and its log offset then."""

    server: str
    request_id: str
    text: str
    log_end: int
    values: tuple[tuple[str, str], ...] = ()
    #: Workspace for which its connection was opened.
    who: str = ''
    #: Shape of the prepared statement that it executed, if any.
    shape: str = ''


@dataclass(frozen=True, slots=True)
class Commit:
    """A change that a database appended to its log as primary.

    `committed_at` is in kernel seconds.
    """

    server: str
    entry: Entry
    committed_at: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """A promotion that took effect: the server became primary of `term`.

    `took_effect_at` is in kernel seconds.
    """

    server: str
    term: int
    took_effect_at: float
