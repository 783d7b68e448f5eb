"""Conversion between statements of the line protocol and operations."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Final

from deckdrum.operations import (
    Begin,
    Commit,
    Deallocate,
    Effect,
    Execute,
    Operation,
    Prepare,
    Rollback,
    Run,
    SetValue,
)
from deckdrum.platform.framing import LineError, shorten

_EFFECTS: Final = MappingProxyType(
    {'READ': Effect.READ, 'WRITE': Effect.WRITE},
)
_PREPARE_FIELDS: Final = 3


def decode_operation(text: str) -> Operation:
    """Decode the text of a client's statement.

    Raises
    ------
    LineError
        If clients may not send the statement.
    """
    word, _, rest = text.partition(' ')
    decode = _DECODERS.get(word)
    if decode is None:
        raise LineError(f'{shorten(word)} is no statement for clients')
    return decode(text, rest)


def encode_operation(operation: Operation) -> str:
    """Encode an operation as the text of a statement for a server."""
    return _ENCODERS[type(operation)](operation)


def _decode_begin(text: str, rest: str) -> Operation:
    if rest not in {'', 'READ'}:
        raise LineError(f'{shorten(text)}, expected BEGIN or BEGIN READ')
    return Begin(read_only=rest == 'READ')


def _decode_commit(text: str, rest: str) -> Operation:
    _check_no_arguments(text, rest)
    return Commit()


def _decode_rollback(text: str, rest: str) -> Operation:
    _check_no_arguments(text, rest)
    return Rollback()


def _check_no_arguments(text: str, rest: str) -> None:
    if rest:
        raise LineError(f'{shorten(text)} has more than its word')


def _decode_read(text: str, rest: str) -> Operation:
    if not rest or ' ' in rest:
        raise LineError(f'{shorten(text)}, expected READ thing')
    return Run(Effect.READ, text)


def _decode_write(text: str, rest: str) -> Operation:
    key, _, payload = rest.partition(' ')
    if not key or not payload:
        raise LineError(f'{shorten(text)}, expected WRITE thing data')
    return Run(Effect.WRITE, text)


def _decode_set(text: str, rest: str) -> Operation:
    name, _, value = rest.partition(' ')
    if not name or not value:
        raise LineError(f'{shorten(text)}, expected SET name value')
    return SetValue(name, value)


def _decode_prepare(text: str, rest: str) -> Operation:
    fields = rest.split(' ', 2)
    if (
        len(fields) != _PREPARE_FIELDS
        or fields[1] not in _EFFECTS
        or not all(fields)
    ):
        raise LineError(
            f'{shorten(text)}, expected PREPARE name READ|WRITE shape',
        )
    return Prepare(fields[0], _EFFECTS[fields[1]], fields[2])


def _decode_execute(text: str, rest: str) -> Operation:
    name, _, arguments = rest.partition(' ')
    if not name or not arguments:
        raise LineError(f'{shorten(text)}, expected EXECUTE name thing [data]')
    return Execute(name, arguments)


def _decode_deallocate(text: str, rest: str) -> Operation:
    if not rest or ' ' in rest:
        raise LineError(f'{shorten(text)}, expected DEALLOCATE name')
    return Deallocate(rest)


_DECODERS: Final = MappingProxyType(
    {
        'BEGIN': _decode_begin,
        'COMMIT': _decode_commit,
        'ROLLBACK': _decode_rollback,
        'READ': _decode_read,
        'WRITE': _decode_write,
        'SET': _decode_set,
        'PREPARE': _decode_prepare,
        'EXECUTE': _decode_execute,
        'DEALLOCATE': _decode_deallocate,
    },
)


def _encode_begin(operation: Begin) -> str:
    return 'BEGIN READ' if operation.read_only else 'BEGIN'


def _encode_prepare(operation: Prepare) -> str:
    effect = operation.effect.name
    return f'PREPARE {operation.name} {effect} {operation.template}'


_Encoders = MappingProxyType[type, Callable[..., str]]
_ENCODERS: Final[_Encoders] = MappingProxyType(
    {
        Begin: _encode_begin,
        Commit: lambda _: 'COMMIT',
        Rollback: lambda _: 'ROLLBACK',
        Run: lambda operation: operation.text,
        SetValue: lambda operation: f'SET {operation.name} {operation.value}',
        Prepare: _encode_prepare,
        Execute: lambda operation: (
            f'EXECUTE {operation.name} {operation.arguments}'
        ),
        Deallocate: lambda operation: f'DEALLOCATE {operation.name}',
    },
)
