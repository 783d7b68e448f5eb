"""Encoding responses that the proxy produces without a database."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from deckdrum.outcomes import Refusal
from deckdrum.wire import Frame, decode_frontend, encode_error, tags
from deckdrum.wire.messages import codec, encode_command_complete

_TEXT_OID: Final = 25
_VARIABLE_SIZE: Final = -1


@dataclass(frozen=True, slots=True)
class LocalAnswer:
    """A response of the proxy itself.

    It is a command tag and, if `column` is set, one row with one text column.
    """

    command: str
    column: str = ''
    text: str = ''


_Builder = Callable[[Frame, LocalAnswer], bytes]


def encode_refusal(refusal: Refusal, severity: str = 'ERROR') -> bytes:
    """Encode a refusal as an ErrorResponse."""
    return encode_error(
        refusal.code.value,
        refusal.text,
        refusal.encode_detail(),
        severity,
    )


def encode_answer(frames: list[Frame], answer: LocalAnswer) -> bytes:
    """Encode the response to each message of a batch, without ReadyForQuery."""
    parts = []
    for frame in frames:
        build = _BUILDERS.get(frame.tag)
        if build is not None:
            parts.append(build(frame, answer))
    return b''.join(parts)


def _describe(frame: Frame, answer: LocalAnswer) -> bytes:
    columns = codec.NoData().to_wire()
    if answer.column:
        columns = _encode_columns(answer)
    if decode_frontend(frame).kind == 'S':
        return codec.ParameterDescription().to_wire() + columns
    return columns


def _encode_columns(answer: LocalAnswer) -> bytes:
    column = codec.FieldDescription(
        name=answer.column,
        type_oid=_TEXT_OID,
        type_size=_VARIABLE_SIZE,
        type_modifier=_VARIABLE_SIZE,
    )
    return codec.RowDescription(fields=[column]).to_wire()


def _answer_query(frame: Frame, answer: LocalAnswer) -> bytes:
    columns = _encode_columns(answer) if answer.column else b''
    return columns + _complete(frame, answer)


def _complete(frame: Frame, answer: LocalAnswer) -> bytes:
    row = b''
    if answer.column:
        row = codec.DataRow(columns=[answer.text.encode()]).to_wire()
    return row + encode_command_complete(answer.command)


def _acknowledge(message: Any) -> _Builder:
    encoded: bytes = message().to_wire()
    return lambda frame, answer: encoded


_BUILDERS: Final[Mapping[bytes, _Builder]] = MappingProxyType(
    {
        tags.PARSE: _acknowledge(codec.ParseComplete),
        tags.BIND: _acknowledge(codec.BindComplete),
        tags.CLOSE: _acknowledge(codec.CloseComplete),
        tags.DESCRIBE: _describe,
        tags.EXECUTE: _complete,
        tags.QUERY: _answer_query,
    }
)
