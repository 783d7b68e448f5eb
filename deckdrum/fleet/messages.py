"""Typed messages between proxies or nodes, encoded as MessagePack arrays.

A message is ``[type number, field, field, ...]``.  Streams need no framing,
because `msgpack.Unpacker` finds the end of each message.  Trailing fields that
have their default are left out, so that a node of an earlier version can decode
a message as long as no new field is in use.
"""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Any, Final

import msgpack

from deckdrum.fleet import limit_messages, load_messages, node_messages
from deckdrum.fleet.base import Message

#: Largest message accepted from a peer.
MAX_MESSAGE_BYTES: Final = 64_000_000


class OpenChannel(Message, frozen=True):
    """Opens a channel from a caller's proxy to the keeper of a service."""

    channel: str
    service: str
    group: str


class PreparedStatement(Message, frozen=True):
    """A prepared statement; `parse` is its Parse body without the name."""

    name: str
    server_name: str
    parse: bytes


class RunBatch(Message, frozen=True):
    """Messages of a caller up to Sync or Flush, or a simple query.

    Attributes
    ----------
    payload : bytes
        The caller's messages, unchanged.
    access : str
        A value of `deckdrum.keepers.Access`.
    max_age : float
        Largest accepted age of the data in seconds, for a stale read.
    floor : sequence of int
        Smallest term and log offset that the data must include.
    repeatable : bool
        Whether the batch may be sent to a database more than once.
    settings : sequence of pairs of str
        Session settings to replay.
    statements : sequence of PreparedStatement
        Prepared statements that the batch refers to.
    """

    payload: bytes
    access: str
    max_age: float = 0
    floor: Sequence[int] = (0, 0)
    repeatable: bool = True
    settings: Sequence[Sequence[str]] = ()
    statements: Sequence[Any] = ()


class Rows(Message, frozen=True):
    """Part of a result, as the database sent it."""

    payload: bytes


class BatchEnd(Message, frozen=True):
    """Reports that a batch is complete.

    `status` is the transaction status, or empty after Flush.  `database` and
    `route` tell which database answered and why it was chosen.  `floor` is the
    term and log offset that the session has seen.
    """

    status: str
    database: str
    route: str
    floor: Sequence[int] = (0, 0)


class BatchRefused(Message, frozen=True):
    """Reports a failed batch, and whether the open transaction was lost."""

    code: str
    text: str
    lost_transaction: bool = False


class CancelChannel(Message, frozen=True):
    """Cancels the batch that is running on a channel."""

    channel: str


class CancelCaller(Message, frozen=True):
    """Passes on a cancel request with a key that the sender does not know."""

    process: int
    secret: bytes


class AskProbe(Message, frozen=True):
    """Asks a peer whether it can reach a database."""

    service: str
    database: str


class ProbeAnswer(Message, frozen=True):
    """Whether the peer reached the database."""

    reached: bool


class Heartbeat(Message, frozen=True):
    """Checks that a proxy is running; the receiver sends it back."""


class AskConfiguration(Message, frozen=True):
    """Asks a peer for its configuration if it is newer than `number`."""

    number: int


class ConfigurationAnswer(Message, frozen=True):
    """A peer's records, and its configuration if newer (else `number` is 0)."""

    number: int
    body: bytes
    records: Sequence[Sequence[Any]] = ()


_MESSAGE_TYPES: Final = (
    OpenChannel,
    PreparedStatement,
    RunBatch,
    Rows,
    BatchEnd,
    BatchRefused,
    CancelChannel,
    CancelCaller,
    AskProbe,
    ProbeAnswer,
    AskConfiguration,
    ConfigurationAnswer,
    Heartbeat,
    node_messages.FetchUpdates,
    node_messages.StateUpdates,
    node_messages.AskServer,
    node_messages.ServerAnswer,
    node_messages.EndTerm,
    node_messages.TermEnded,
    node_messages.OpenDetour,
    node_messages.DetourOpened,
    node_messages.BorrowLink,
    node_messages.LinkLent,
    node_messages.RelayedBytes,
    node_messages.ReturnLink,
    node_messages.LinkReturned,
    node_messages.AskProof,
    node_messages.ProofAnswer,
    node_messages.FollowUpdates,
    node_messages.FollowAnswer,
    node_messages.AskSample,
    node_messages.SampleAnswer,
    node_messages.Forward,
    node_messages.ForwardNext,
    node_messages.ForwardAnswer,
    limit_messages.AskLimit,
    limit_messages.LimitAnswer,
    limit_messages.AskLimitShare,
    limit_messages.LimitShareAnswer,
    load_messages.AskSlots,
    load_messages.SlotsAnswer,
    load_messages.AskLoad,
    load_messages.LoadAnswer,
    limit_messages.ReturnToken,
)
_TYPE_NUMBERS: Final = MappingProxyType(
    {
        message_type: number
        for number, message_type in enumerate(_MESSAGE_TYPES)
    },
)
_FIELD_NAMES: Final = tuple(
    message_type.__struct_fields__ for message_type in _MESSAGE_TYPES
)
#: Defaults of the trailing fields of each type.
_DEFAULTS: Final = tuple(
    message_type.__struct_defaults__ for message_type in _MESSAGE_TYPES
)


class MessageError(ConnectionError):
    """A peer sent data that is not a valid message."""


def encode_message(message: Message) -> bytes:
    """Encode a message.

    Examples
    --------
    >>> decode_message(msgpack.unpackb(encode_message(Rows(b'x'))))
    Rows(payload=b'x')
    """
    packed: bytes = msgpack.packb(_flatten(message))
    return packed


def decode_message(parts: Any) -> Message:
    """Return the message that consists of these unpacked parts.

    Raises
    ------
    MessageError
        If the type number or the number of fields is invalid.
    """
    try:
        message_type = _MESSAGE_TYPES[parts[0]]
        message: Message = message_type(*parts[1:])
    except (TypeError, IndexError, KeyError) as error:
        raise MessageError(f'no message: {parts!r:.80}') from error
    if isinstance(message, RunBatch):
        return _restore_statements(message)
    return message


def _flatten(message: Message) -> list[Any]:
    number = _TYPE_NUMBERS[type(message)]
    parts: list[Any] = [number]
    for name in _FIELD_NAMES[number]:
        part = getattr(message, name)
        if name == 'statements':
            part = [_flatten(statement) for statement in part]
        parts.append(part)
    for default in reversed(_DEFAULTS[number]):
        if parts[-1] != default:
            break
        parts.pop()
    return parts


def _restore_statements(batch: RunBatch) -> RunBatch:
    if not batch.statements:
        return batch
    return RunBatch(
        batch.payload,
        batch.access,
        batch.max_age,
        batch.floor,
        batch.repeatable,
        batch.settings,
        tuple(decode_message(parts) for parts in batch.statements),
    )
