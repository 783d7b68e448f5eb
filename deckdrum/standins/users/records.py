"""What the databases commit, and what a test can look up afterwards."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Entry:
    """A committed change: its term and number, and who wrote what."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ExecutedStatement:
    """A statement that a database has run, with the log it ran on."""

    server: str
    request_id: str
    text: str
    log_end: int
    values: tuple[tuple[str, str], ...] = ()
    #: For whom its connection was opened.
    who: str = ''
