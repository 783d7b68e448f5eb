"""Typed messages between proxies or nodes, as MessagePack arrays.

A message is ``[number of its type, field, field, ...]``.  The stream needs no
framing of its own: `msgpack.Unpacker` finds the ends.
"""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Any, Final

import msgpack

from deckdrum.fleet import limits, node_messages
from deckdrum.fleet.base import Message

#: Largest message accepted from a peer, in bytes.
MAX_MESSAGE_BYTES: Final = 64_000_000


class OpenChannel(Message, frozen=True):
    """A caller's proxy opens a channel to the keeper of a service."""

    channel: str
    service: str
    group: str


class PreparedStatement(Message, frozen=True):
    """A statement that a caller has prepared: its Parse, without a name."""

    name: str
    server_name: str
    parse: bytes


class RunBatch(Message, frozen=True):
    """Messages of a caller up to Sync or Flush, or one simple query.

    Attributes
    ----------
    payload : bytes
        The caller's messages, as they came.
    access : str
        A value of `deckdrum.keepers.Access`.
    max_age : float
        Accepted age of the data in seconds, for an aged read.
    floor : sequence of int
        Term and offset that the session has seen.
    repeatable : bool
        Whether the batch may be sent to a database more than once.
    settings : sequence of pairs of str
        Session settings to replay.
    statements : sequence of PreparedStatement
        The caller's prepared statements that the batch names.
    """

    payload: bytes
    access: str
    max_age: float = 0
    floor: Sequence[int] = (0, 0)
    repeatable: bool = True
    settings: Sequence[Sequence[str]] = ()
    statements: Sequence[Any] = ()


class Rows(Message, frozen=True):
    """Part of an answer, as the database sent it."""

    payload: bytes


class BatchEnd(Message, frozen=True):
    """A batch is done.

    `status` is the transaction status, or empty after Flush.  `database`
    and `route` tell who answered and why; `floor` what has been seen.
    """

    status: str
    database: str
    route: str
    floor: Sequence[int] = (0, 0)


class BatchRefused(Message, frozen=True):
    """A batch did not end as done.

    `lost_transaction` tells that the open transaction is gone with it.
    """

    code: str
    text: str
    lost_transaction: bool = False


class CancelChannel(Message, frozen=True):
    """Cancel what runs on a channel."""

    channel: str


class CancelCaller(Message, frozen=True):
    """A cancel request came to a proxy that does not know the key."""

    process: int
    secret: bytes


class AskProbe(Message, frozen=True):
    """Ask a peer whether it reaches a database."""

    service: str
    database: str


class ProbeAnswer(Message, frozen=True):
    """Whether the peer reached the database."""

    reached: bool


class Heartbeat(Message, frozen=True):
    """Sent back as it came, to show that a proxy runs."""


class AskConfiguration(Message, frozen=True):
    """Ask a peer for its configuration if newer than `number`."""

    number: int


class ConfigurationAnswer(Message, frozen=True):
    """A peer's configuration and records; `number` 0 if nothing newer."""

    number: int
    body: bytes
    records: Sequence[Sequence[Any]] = ()


_TYPES: Final = (
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
    node_messages.AskNews,
    node_messages.News,
    node_messages.AskServer,
    node_messages.ServerAnswer,
    node_messages.EndTerm,
    node_messages.TermEnded,
    node_messages.OpenDetour,
    node_messages.DetourOpened,
    node_messages.BorrowLink,
    node_messages.LinkLent,
    node_messages.Carried,
    node_messages.ReturnLink,
    node_messages.LinkReturned,
    node_messages.AskProof,
    node_messages.ProofAnswer,
    node_messages.FollowNews,
    node_messages.FollowAnswer,
    node_messages.AskSample,
    node_messages.SampleAnswer,
    node_messages.Forward,
    node_messages.ForwardNext,
    node_messages.ForwardAnswer,
    limits.AskLimit,
    limits.LimitAnswer,
)
_NUMBERS: Final = MappingProxyType(
    {message_type: number for number, message_type in enumerate(_TYPES)},
)
_FIELD_NAMES: Final = tuple(
    message_type.__struct_fields__ for message_type in _TYPES
)


class MessageError(ConnectionError):
    """A peer sent what is no message."""


def encode_message(message: Message) -> bytes:
    """Return a message as bytes.

    Examples
    --------
    >>> decode_message(msgpack.unpackb(encode_message(Rows(b'x'))))
    Rows(payload=b'x')
    """
    packed: bytes = msgpack.packb(_flatten(message))
    return packed


def decode_message(parts: Any) -> Message:
    """Return the message of unpacked parts.

    Raises
    ------
    MessageError
        If type or number of fields are wrong.
    """
    try:
        message_type = _TYPES[parts[0]]
        message: Message = message_type(*parts[1:])
    except (TypeError, IndexError, KeyError) as error:
        raise MessageError(f'no message: {parts!r:.80}') from error
    if isinstance(message, RunBatch):
        return _restore_statements(message)
    return message


def _flatten(message: Message) -> list[Any]:
    number = _NUMBERS[type(message)]
    parts: list[Any] = [number]
    for name in _FIELD_NAMES[number]:
        part = getattr(message, name)
        if name == 'statements':
            part = [_flatten(statement) for statement in part]
        parts.append(part)
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
