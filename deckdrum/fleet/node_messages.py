"""Requests and answers between nodes."""

from collections.abc import Mapping, Sequence
from typing import Any

from deckdrum.fleet.base import Message


class FetchUpdates(Message, frozen=True):
    """Asks a peer for the updates that the sender lacks.

    `version` is the version of the sender's configuration; `revisions` maps
    each kind of record to the latest revision that the sender has.
    """

    version: int
    revisions: Mapping[str, int]


class StateUpdates(Message, frozen=True):
    """Updates that the requesting peer lacks.

    `configuration` is the compressed content of the store; it is empty if the
    requesting peer is up to date.  `updates` maps kinds of record to encoded
    lists, or to changes of such lists.
    """

    configuration: bytes
    updates: Mapping[str, bytes]


class FollowUpdates(Message, frozen=True):
    """Asks a peer that watches the store for its next updates (long poll).

    Attributes
    ----------
    revisions : mapping of str to int
        Latest revision that the sender has of each kind of record.
    limit : float
        Longest wait for updates, in seconds.
    version : int
        Version of the sender's configuration.
    """

    revisions: Mapping[str, int]
    limit: float
    version: int


class FollowAnswer(StateUpdates, frozen=True):
    """Answers `FollowUpdates` with updates.

    `is_feeding` tells whether the peer watches the store.
    """

    is_feeding: bool


class AskServer(Message, frozen=True):
    """Asks a peer whether it reaches a backend server that acts as primary."""

    service: str
    server: str


class ServerAnswer(Message, frozen=True):
    """Whether the peer reached the server, and which term it leads."""

    reached: bool
    leads_term: int


class EndTerm(Message, frozen=True):
    """Asks a peer to stop using the primary of a term.

    `may_finish` tells that the primary still answers, so that running
    statements may be given a short time to finish.  `fence` is the fencing
    token: the revision of the claim.
    """

    service: str
    term: int
    may_finish: bool
    fence: int = 0


class TermEnded(Message, frozen=True):
    """Confirms that the peer acknowledges no more changes of the term.

    `later_term` and `later_primary` are set if it uses a primary of a later
    term.
    """

    service: str
    term: int
    later_term: int = 0
    later_primary: str = ''


class OpenDetour(Message, frozen=True):
    """Asks a peer to relay bytes to and from a backend server.

    Once a `DetourOpened` has confirmed this, the stream carries only those
    bytes.
    """

    server: str


class DetourOpened(Message, frozen=True):
    """Whether the peer has connected to the server."""

    is_open: bool


class BorrowLink(Message, frozen=True):
    """Asks a holder of connections to a server to lend one.

    Once a `LinkLent` has confirmed this, both ends send `RelayedBytes` until
    the borrower sends `ReturnLink`.

    Attributes
    ----------
    service, server : str
        Database group and id of the server.
    group : str
        Member group on whose behalf the connection is borrowed.
    limit : float
        Longest wait for a free connection, in seconds.
    values : mapping of str to str
        Session values that the connection should preferably have.
    workspace : str or None
        Owner that the connection must have; None for any owner.
    """

    service: str
    server: str
    group: str
    limit: float
    values: Mapping[str, str]
    workspace: str | None


class LinkLent(Message, frozen=True):
    """Whether a connection is lent, and the state of its session.

    `is_full` tells that the lender holds connections but none is available
    now.  `prepared` lists the effect, shape and name of each prepared
    statement.
    """

    is_lent: bool
    is_full: bool
    values: Mapping[str, str]
    prepared: Sequence[Sequence[str]]


class RelayedBytes(Message, frozen=True):
    """Bytes relayed to or from the server over a lent connection."""

    payload: bytes


class ReturnLink(Message, frozen=True):
    """Returns a lent connection after its whole answer has arrived.

    A borrower that cannot be sure of that closes the stream instead.
    """

    values: Mapping[str, str]
    prepared: Sequence[Sequence[str]]


class LinkReturned(Message, frozen=True):
    """Confirms that the lender relays no more bytes."""


class Forward(Message, frozen=True):
    """Asks a holder of connections to run a caller's statement.

    If the answer says that a transaction is open, its further statements are
    sent as `ForwardNext` on the same stream until it has ended.

    Attributes
    ----------
    request : str
        Id that the caller gave to the statement.
    operation : sequence of str
        Name and fields of the operation.
    statement : sequence of str
        Effect and shape of the prepared statement to execute, if any.
    route : sequence
        Fields of the route that applies to the statement.
    values : mapping of str to str
        Session values of the caller.
    floor : sequence of int
        Smallest term and log offset that a read must include: that of the
        session's latest change.
    begin : str
        ``read`` or ``write`` to open a transaction first, else empty.
    workspace, fingerprint : str
        Workspace of the caller's key, and the fingerprint of that key.
    version : int
        Version of the configuration in which the key was found.
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
    """Asks to run the next statement of the open transaction."""

    request: str
    operation: Sequence[str]
    statement: Sequence[str]


class ForwardAnswer(Message, frozen=True):
    """Outcome of a forwarded statement.

    Attributes
    ----------
    is_open : bool
        Whether its transaction is still open.
    code : str
        Code of the refusal; empty if the statement was answered.
    text : str
        Text of the refusal, or the server's confirmation that it ran.
    retry_after : float or None
        Delay before a retry after a refusal, in seconds.
    rows : sequence of str
        Rows of the answer.
    position : sequence of int
        Term and offset of the server's log; empty if not reported.
    load : sequence of float
        Load of the holder (`deckdrum.load.reports`); empty if it is idle.
    """

    is_open: bool
    code: str
    text: str
    retry_after: float | None
    rows: Sequence[str]
    position: Sequence[int]
    load: Sequence[float] = ()


class AskProof(Message, frozen=True):
    """Asks a peer for its leadership proof of a term."""

    service: str
    term: int


class ProofAnswer(Message, frozen=True):
    """Age of the peer's leadership proof, in seconds.

    Counted from the time when the peer requested the proof; negative if it has
    none.
    """

    age: float


class AskSample(Message, frozen=True):
    """Asks a peer for its latest sample of a primary's log position."""

    service: str


class SampleAnswer(Message, frozen=True):
    """Sample of a primary's log position, and its age in seconds.

    The age counts from the time when the peer requested the sample; it is
    negative if the peer has none.
    """

    term: int
    offset: int
    age: float
