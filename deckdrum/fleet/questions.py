"""Questions between nodes on the platform, and their answers."""

from collections.abc import Mapping
from dataclasses import dataclass

from deckdrum.fleet.base import Message


@dataclass(frozen=True, slots=True)
class AskNews(Message):
    """Ask a peer for what it knows beyond the given revisions.

    `version` is the asker's configuration; `revisions` maps kinds of record
    to the revisions up to which the asker knows them.
    """

    version: int
    revisions: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class News(Message):
    """What a peer knows and the asker does not; empty parts have no news.

    `configuration` is as the store holds it; `listings` maps kinds of
    record to encoded lists.
    """

    configuration: bytes
    listings: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class AskServer(Message):
    """Ask a peer whether it reaches a backend server as a primary."""

    service: str
    server: str


@dataclass(frozen=True, slots=True)
class ServerAnswer(Message):
    """What the peer found out: whether it was reached, and leads a term."""

    reached: bool
    leads_term: int


@dataclass(frozen=True, slots=True)
class EndTerm(Message):
    """Ask a peer to stop using the primary of a term."""

    service: str
    term: int


@dataclass(frozen=True, slots=True)
class TermEnded(Message):
    """The peer has stopped: it releases no change of that term any more."""

    service: str
    term: int


@dataclass(frozen=True, slots=True)
class OpenDetour(Message):
    """Ask a peer to pass bytes on to a backend server, both ways.

    After a `DetourOpened` that says so the stream carries nothing else.
    """

    server: str


@dataclass(frozen=True, slots=True)
class DetourOpened(Message):
    """Whether the peer has a connection to the server."""

    is_open: bool
