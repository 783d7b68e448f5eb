"""Prepared statements on pooled connections.

A caller's statement gets a name derived from its text, so that callers share
what a connection has prepared.  A statement that the chosen connection lacks
is prepared there first; the extra answers are dropped.
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
    """An answer that will come, and what it means for the connection."""

    tag: bytes
    is_suppressed: bool = False
    prepared: bytes = b''
    closed: bytes = b''


@dataclass(slots=True)
class RewrittenBatch:
    """What to send, and the answers to expect in order.

    `replies` counts the answers that end a message (for Flush).
    """

    payload: bytes
    expected: deque[ExpectedReply] = field(default_factory=deque)
    replies: int = 0
    ends_with_sync: bool = True


def name_statement(query: str, oids: Iterable[int]) -> str:
    """Return the name of a statement on backend connections.

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
    """Return the definition of a caller's decoded Parse."""
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
        Definitions that the batch may name.
    prepared : set of bytes
        Names that the connection has prepared.
    """

    def __init__(
        self,
        statements: Iterable[PreparedStatement],
        prepared: set[bytes],
    ) -> None:
        self._known = {each.name: each for each in statements}
        self._prepared = set(prepared)
        self._parts: list[bytes] = []
        self._batch = RewrittenBatch(b'')

    def rewrite(self, payload: bytes) -> RewrittenBatch:
        """Return the batch as the connection must see it.

        Raises
        ------
        WireError
            If a message is malformed.
        """
        last = b''
        for frame in split_frames(payload):
            step = _STEPS.get(frame.tag, Rewriter.pass_on)
            step(self, frame)
            last = frame.tag
        self._batch.payload = b''.join(self._parts)
        self._batch.ends_with_sync = last != tags.FLUSH
        return self._batch

    def pass_on(self, frame: Frame) -> None:
        """Take a message over as it is."""
        self._parts.append(frame.raw)
        if frame.tag in {tags.EXECUTE, tags.DESCRIBE}:
            self._batch.replies += 1

    def parse(self, frame: Frame) -> None:
        """Take over a Parse under its server name."""
        message = decode_frontend(frame)
        if not message.statement:
            self._add(frame.raw, ExpectedReply(tags.PARSE_COMPLETE))
            return
        definition = define_statement(message)
        name = definition.server_name.encode()
        if name in self._prepared:
            # Parse again, so that the answers come in the caller's order.
            self._close(definition.server_name)
        self._known[message.statement] = definition
        self._prepared.add(name)
        self._add(
            definition.parse,
            ExpectedReply(tags.PARSE_COMPLETE, prepared=name),
        )

    def bind(self, frame: Frame) -> None:
        """Take over a Bind; its statement is prepared if need be."""
        message = decode_frontend(frame)
        name = self._ensure(message.statement)
        if name is None:
            self._add(frame.raw, ExpectedReply(tags.BIND_COMPLETE))
            return
        message.statement = name
        self._add(message.to_wire(), ExpectedReply(tags.BIND_COMPLETE))

    def describe(self, frame: Frame) -> None:
        """Take over a Describe."""
        message = decode_frontend(frame)
        if message.kind == 'S':
            message.name = self._ensure(message.name) or message.name
        self._parts.append(message.to_wire())
        self._batch.replies += 1

    def close(self, frame: Frame) -> None:
        """Take over a Close."""
        message = decode_frontend(frame)
        definition = self._known.get(message.name)
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

    def _ensure(self, name: str) -> str | None:
        """Have a statement prepared; return its server name."""
        definition = self._known.get(name) if name else None
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

    def _close(self, name: str) -> None:
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


_Step = Callable[[Rewriter, Frame], None]
_STEPS: Final[Mapping[bytes, _Step]] = MappingProxyType(
    {
        tags.PARSE: Rewriter.parse,
        tags.BIND: Rewriter.bind,
        tags.DESCRIBE: Rewriter.describe,
        tags.CLOSE: Rewriter.close,
    }
)
