"""Encoding of statements and outcomes in messages between nodes."""

from collections.abc import Sequence
from dataclasses import astuple
from types import MappingProxyType
from typing import Any, Final

from deckdrum.control import ConsistencyGuarantee, Route
from deckdrum.fleet.messages import MessageError
from deckdrum.fleet.node_messages import Forward, ForwardAnswer, ForwardNext
from deckdrum.operations import (
    Answer,
    Begin,
    Commit,
    Effect,
    Execute,
    Operation,
    Request,
    Rollback,
    Run,
    SetValue,
    TransactionState,
)
from deckdrum.outcomes import Code, Refusal
from deckdrum.outcomes.codes import CODES
from deckdrum.serving.host import Outcome
from deckdrum.serving.state import PreparedStatement, Statement
from deckdrum.sessions import Position

_READ: Final = 'read'
_WRITE: Final = 'write'
_Types = MappingProxyType[str, type[Any]]
#: Operations that can be forwarded, by their names in messages.
_OPERATIONS: Final[_Types] = MappingProxyType(
    {
        'run': Run,
        'execute': Execute,
        'commit': Commit,
        'rollback': Rollback,
        'set': SetValue,
    },
)
_NAMES: Final = MappingProxyType(
    {operation: name for name, operation in _OPERATIONS.items()},
)


def encode_forward(
    statement: Statement,
    route: Route,
    version: int,
) -> Forward:
    """Return the message that forwards a statement.

    Parameters
    ----------
    statement : Statement
        The statement, or the first one of a transaction.
    route : Route
        Its route.
    version : int
        Version of the configuration that provided the route.
    """
    opening = ''
    begin = statement.begin
    if begin is not None:
        opening = _READ if begin.read_only else _WRITE
    return Forward(
        statement.request.id,
        _encode_operation(statement.operation),
        _encode_prepared(statement.prepared),
        astuple(route),
        dict(statement.values),
        _encode_position(statement.min_position),
        opening,
        statement.workspace,
        statement.fingerprint,
        version,
    )


def encode_forward_next(
    request: Request,
    prepared: PreparedStatement | None = None,
) -> ForwardNext:
    """Return the message with the next statement of a transaction."""
    return ForwardNext(
        request.id,
        _encode_operation(request.operation),
        _encode_prepared(prepared),
    )


def decode_request(message: Forward | ForwardNext) -> Request:
    """Return the statement of a message.

    Raises
    ------
    MessageError
        If the operation is unknown or malformed.
    """
    try:
        name, *fields = message.operation
        operation: Operation = _OPERATIONS[name](*fields)
        if isinstance(operation, Run):
            operation = Run(Effect(operation.effect), operation.text)
    except (KeyError, TypeError, ValueError) as error:
        raise MessageError(
            f'invalid operation: {message.operation!r}',
        ) from error
    return Request(message.request, operation)


def decode_prepared(message: Forward | ForwardNext) -> PreparedStatement | None:
    """Return the prepared statement that a message executes, if any.

    Raises
    ------
    MessageError
        If it is malformed.
    """
    if not message.statement:
        return None
    try:
        effect, shape = message.statement
        return PreparedStatement(Effect(effect), shape)
    except ValueError as error:
        raise MessageError(
            f'invalid prepared statement: {message.statement!r}',
        ) from error


def decode_route(message: Forward) -> Route:
    """Return the route of a statement.

    Raises
    ------
    MessageError
        If it is malformed.
    """
    try:
        database, service, guarantee, *limits = message.route
        return Route(
            database, service, ConsistencyGuarantee(guarantee), *limits
        )
    except (TypeError, ValueError) as error:
        raise MessageError(f'invalid route: {message.route!r}') from error


def decode_begin(message: Forward) -> Begin | None:
    """Return the transaction that a statement opens, if any."""
    return Begin(message.begin == _READ) if message.begin else None


def decode_position(parts: Sequence[int]) -> Position | None:
    """Return the position in a message, None if there is none."""
    return Position(*parts) if parts else None


def encode_outcome(
    outcome: Outcome,
    *,
    is_open: bool,
    load: Sequence[float] = (),
) -> ForwardAnswer:
    """Return the message with the outcome of a statement.

    `load` is the load of this holder, as `ForwardAnswer` has it.
    """
    if isinstance(outcome, Refusal):
        return ForwardAnswer(
            is_open,
            outcome.code,
            outcome.text,
            outcome.retry_after,
            (),
            (),
            load,
        )
    return ForwardAnswer(
        is_open,
        '',
        outcome.completion,
        None,
        outcome.rows,
        _encode_position(outcome.position),
        load,
    )


def decode_outcome(message: ForwardAnswer) -> Outcome:
    """Return the outcome of a statement.

    Raises
    ------
    MessageError
        If its code is unknown.
    """
    if not message.code:
        transaction_state = (
            TransactionState.OPEN if message.is_open else TransactionState.IDLE
        )
        return Answer(
            tuple(message.rows),
            message.text,
            transaction_state,
            decode_position(message.position),
        )
    try:
        code = Code(message.code)
    except ValueError as error:
        raise MessageError(f'no code: {message.code!r}') from error
    return Refusal(code, CODES[code].fate, message.text, message.retry_after)


def _encode_operation(operation: Operation) -> list[str]:
    return [_NAMES[type(operation)], *astuple(operation)]


def _encode_prepared(prepared: PreparedStatement | None) -> tuple[str, ...]:
    return () if prepared is None else (prepared.effect, prepared.template)


def _encode_position(position: Position | None) -> tuple[int, ...]:
    return () if position is None else (position.term, position.offset)
