"""Questions between nodes on the platform, and their answers."""

from collections.abc import Mapping, Sequence
from typing import Any

from deckdrum.fleet.base import Message


class AskNews(Message, frozen=True):
    """Ask a peer for what it knows beyond the given revisions.

    `version` is the asker's configuration; `revisions` maps kinds of record
    to the revisions up to which the asker knows them.
    """

    version: int
    revisions: Mapping[str, int]


class News(Message, frozen=True):
    """What a peer knows and the asker does not; empty parts have no news.

    `configuration` is as the store holds it, compressed; `updates` maps kinds
    of record to encoded lists, or to changes of them.
    """

    configuration: bytes
    updates: Mapping[str, bytes]


class FollowNews(Message, frozen=True):
    """Ask a peer that watches the store for news as soon as it has some.

    Attributes
    ----------
    revisions : mapping of str to int
        Up to where the asker knows each kind that it follows.
    limit : float
        Longest wait for news, in seconds.
    version : int
        The asker's configuration.
    """

    revisions: Mapping[str, int]
    limit: float
    version: int


class FollowAnswer(News, frozen=True):
    """The answer: whether the peer watches the store, and its news."""

    is_feeding: bool


class AskServer(Message, frozen=True):
    """Ask a peer whether it reaches a backend server as a primary."""

    service: str
    server: str


class ServerAnswer(Message, frozen=True):
    """What the peer found out: whether it was reached, and leads a term."""

    reached: bool
    leads_term: int


class EndTerm(Message, frozen=True):
    """Ask a peer to stop using the primary of a term.

    `may_finish` tells that the primary still answers, so that statements
    under way are worth a short wait.  `fence` is the revision of the claim.
    """

    service: str
    term: int
    may_finish: bool
    fence: int = 0


class TermEnded(Message, frozen=True):
    """The peer has stopped: it releases no change of that term any more."""

    service: str
    term: int


class OpenDetour(Message, frozen=True):
    """Ask a peer to pass bytes on to a backend server, both ways.

    After a `DetourOpened` that says so the stream carries nothing else.
    """

    server: str


class DetourOpened(Message, frozen=True):
    """Whether the peer has a connection to the server."""

    is_open: bool


class BorrowLink(Message, frozen=True):
    """Ask a node that holds connections to a server to lend one.

    After a `LinkLent` that says so both ends send `Carried` until the
    borrower sends `ReturnLink`.

    Attributes
    ----------
    service, server : str
        The database group and the server's id.
    group : str
        The member group on whose behalf it is borrowed.
    limit : float
        Longest wait for a free connection in seconds.
    values : mapping of str to str
        Session values that the connection should have.
    workspace : str or None
        Whose it must be; None if it may be anybody's.
    """

    service: str
    server: str
    group: str
    limit: float
    values: Mapping[str, str]
    workspace: str | None


class LinkLent(Message, frozen=True):
    """The answer: whether a connection is lent, and its state.

    `is_full` tells that the lender holds connections and has none to lend now.
    `prepared` has the effect, shape and name of each prepared statement.
    """

    is_lent: bool
    is_full: bool
    values: Mapping[str, str]
    prepared: Sequence[Sequence[str]]


class Carried(Message, frozen=True):
    """Bytes to or from the server."""

    payload: bytes


class ReturnLink(Message, frozen=True):
    """The borrower is done; the whole answer has arrived.

    A borrower that is not sure closes the stream instead.
    """

    values: Mapping[str, str]
    prepared: Sequence[Sequence[str]]


class LinkReturned(Message, frozen=True):
    """The lender carries nothing more."""


class Forward(Message, frozen=True):
    """Ask a node that holds connections to run a caller's statement.

    If the answer says that a transaction is open, both ends go on with
    `ForwardNext` on the same stream until one says that it has ended.

    Attributes
    ----------
    request : str
        The caller's id of the statement.
    operation : sequence of str
        Its name and fields.
    statement : sequence of str
        Effect and shape of the prepared statement that it executes, if any.
    route : sequence
        Fields of the route that binds it.
    values : mapping of str to str
        Session values.
    floor : sequence of int
        Term and offset of the session's latest change.
    begin : str
        ``read`` or ``write`` to open a transaction first.
    workspace, fingerprint : str
        The workspace that holds the caller's key, and the key's fingerprint.
    version : int
        Version of the configuration that said so.
    """

    request: str
    operation: Sequence[str]
    statement: Sequence[str]
    route: Sequence[Any]
    values: Mapping[str, str]
    floor: Sequence[int]
    begin: str
    workspace: str
    fingerprint: str
    version: int


class ForwardNext(Message, frozen=True):
    """Run the next statement of the transaction that is open."""

    request: str
    operation: Sequence[str]
    statement: Sequence[str]


class ForwardAnswer(Message, frozen=True):
    """What became of a statement that was handed over.

    Attributes
    ----------
    is_open : bool
        Whether its transaction goes on.
    code : str
        Code of the refusal; empty if it was answered.
    text : str
        The refusal's text, or the server's proof that it ran.
    retry_after : float or None
        Of a refusal, in seconds.
    rows : sequence of str
        Of an answer.
    position : sequence of int
        Term and offset of the server's log, if it said so.
    """

    is_open: bool
    code: str
    text: str
    retry_after: float | None
    rows: Sequence[str]
    position: Sequence[int]


class AskProof(Message, frozen=True):
    """Ask a peer for its proof that a term goes on."""

    service: str
    term: int


class ProofAnswer(Message, frozen=True):
    """How long ago the peer asked for its proof, in seconds.

    Negative if it has none.
    """

    age: float


class AskSample(Message, frozen=True):
    """Ask a peer where a primary's log stood lately."""

    service: str


class SampleAnswer(Message, frozen=True):
    """Where the log stood, and how long ago the peer asked, in seconds.

    A negative age if the peer does not know.
    """

    term: int
    offset: int
    age: float
