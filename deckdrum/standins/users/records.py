"""Log entries, and executed statements for the checks of tests."""

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
