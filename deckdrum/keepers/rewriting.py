"""Prepared statements on pooled connections.

On backend connections a statement is named by a hash of its text and parameter
types, so that callers share prepared statements.  A statement that is missing
on a connection is prepared there first, and the extra replies are suppressed.
"""

import hashlib
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final

from deckdrum.fleet.messages import PreparedStatement
from deckdrum.wire import Frame, decode_frontend, tags
from deckdrum.wire.frames import split_frames
from deckdrum.wire.messages import codec

_NAME_BYTES: Final = 12


@dataclass(frozen=True, slots=True)
class ExpectedReply:
    """An expected reply and its effect on the prepared statements."""

    tag: bytes
    is_suppressed: bool = False
    prepared: bytes = b''
    closed: bytes = b''


@dataclass(slots=True)
class RewrittenBatch:
    """Rewritten messages and the replies expected for them, in order.

    `replies` is the number of messages whose replies the caller receives; it
    tells when a batch that ends with Flush is complete.
    """

    payload: bytes
    expected: deque[ExpectedReply] = field(default_factory=deque)
    replies: int = 0
    ends_with_sync: bool = True


def name_statement(query: str, oids: Iterable[int]) -> str:
    """Return the server-side name of a statement.

    Examples
    --------
    >>> name_statement('SELECT 1', []) == name_statement('SELECT 1', [])
    True
    >>> len(name_statement('SELECT 1', [20]))
    27
    """
    described = repr((query, list(oids))).encode()
    digest = hashlib.blake2b(described, digest_size=_NAME_BYTES)
    return f'dd_{digest.hexdigest()}'


def define_statement(message: Any) -> PreparedStatement:
    """Return the statement definition for a decoded Parse message."""
    server_name = name_statement(message.query, message.param_types)
    parse = codec.Parse(
        statement=server_name,
        query=message.query,
        param_types=list(message.param_types),
    )
    return PreparedStatement(message.statement, server_name, parse.to_wire())


class Rewriter:
    """Rewrites the messages of one batch for one connection.

    Parameters
    ----------
    statements : iterable of PreparedStatement
        Definitions that the batch may refer to.
    prepared : set of bytes
        Server names of the statements prepared on the connection.
    """

    def __init__(
        self,
        statements: Iterable[PreparedStatement],
        prepared: set[bytes],
    ) -> None:
        self._definitions = {each.name: each for each in statements}
        self._prepared = set(prepared)
        self._parts: list[bytes] = []
        self._batch = RewrittenBatch(b'')

    def rewrite(self, payload: bytes) -> RewrittenBatch:
        """Return the batch rewritten for the connection.

        Raises
        ------
        WireError
            If a message is malformed.
        """
        last = b''
        for frame in split_frames(payload):
            rewrite_frame = _HANDLERS.get(frame.tag, Rewriter.append_unchanged)
            rewrite_frame(self, frame)
            last = frame.tag
        self._batch.payload = b''.join(self._parts)
        self._batch.ends_with_sync = last != tags.FLUSH
        return self._batch

    def append_unchanged(self, frame: Frame) -> None:
        """Append a message unchanged."""
        self._parts.append(frame.raw)
        if frame.tag in {tags.EXECUTE, tags.DESCRIBE}:
            self._batch.replies += 1

    def parse(self, frame: Frame) -> None:
        """Rewrite a Parse to its server name."""
        message = decode_frontend(frame)
        if not message.statement:
            self._add(frame.raw, ExpectedReply(tags.PARSE_COMPLETE))
            return
        definition = define_statement(message)
        name = definition.server_name.encode()
        if name in self._prepared:
            # Close and parse again to keep replies in the caller's order.
            self._add_close(definition.server_name)
        self._definitions[message.statement] = definition
        self._prepared.add(name)
        self._add(
            definition.parse,
            ExpectedReply(tags.PARSE_COMPLETE, prepared=name),
        )

    def bind(self, frame: Frame) -> None:
        """Rewrite a Bind; prepare its statement first if it is missing."""
        message = decode_frontend(frame)
        name = self._ensure_prepared(message.statement)
        if name is None:
            self._add(frame.raw, ExpectedReply(tags.BIND_COMPLETE))
            return
        message.statement = name
        self._add(message.to_wire(), ExpectedReply(tags.BIND_COMPLETE))

    def describe(self, frame: Frame) -> None:
        """Rewrite a Describe; prepare its statement first if missing."""
        message = decode_frontend(frame)
        if message.kind == 'S':
            message.name = self._ensure_prepared(message.name) or message.name
        self._parts.append(message.to_wire())
        self._batch.replies += 1

    def close(self, frame: Frame) -> None:
        """Rewrite a Close to the server name."""
        message = decode_frontend(frame)
        definition = self._definitions.get(message.name)
        if message.kind != 'S' or definition is None:
            self._add(frame.raw, ExpectedReply(tags.CLOSE_COMPLETE))
            return
        name = definition.server_name
        self._prepared.discard(name.encode())
        message.name = name
        self._add(
            message.to_wire(),
            ExpectedReply(tags.CLOSE_COMPLETE, closed=name.encode()),
        )

    def _ensure_prepared(self, name: str) -> str | None:
        """Prepare a statement if it is missing; return its server name."""
        definition = self._definitions.get(name) if name else None
        if definition is None:
            return None
        server_name = definition.server_name.encode()
        if server_name not in self._prepared:
            self._prepared.add(server_name)
            self._parts.append(definition.parse)
            self._batch.expected.append(
                ExpectedReply(
                    tags.PARSE_COMPLETE,
                    is_suppressed=True,
                    prepared=server_name,
                ),
            )
        return definition.server_name

    def _add_close(self, name: str) -> None:
        self._parts.append(codec.Close(kind='S', name=name).to_wire())
        self._batch.expected.append(
            ExpectedReply(
                tags.CLOSE_COMPLETE,
                is_suppressed=True,
                closed=name.encode(),
            ),
        )

    def _add(self, raw: bytes, expected: ExpectedReply) -> None:
        self._parts.append(raw)
        self._batch.expected.append(expected)
        self._batch.replies += 1


_FrameHandler = Callable[[Rewriter, Frame], None]
_HANDLERS: Final[Mapping[bytes, _FrameHandler]] = MappingProxyType(
    {
        tags.PARSE: Rewriter.parse,
        tags.BIND: Rewriter.bind,
        tags.DESCRIBE: Rewriter.describe,
        tags.CLOSE: Rewriter.close,
    }
)
