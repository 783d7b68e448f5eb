"""Statements that concern the session only and never reach a database."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from deckdrum.callers.answers import LocalAnswer
from deckdrum.callers.batches import Batch
from deckdrum.callers.state import CallerState
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.statements import Effect, Statement

_IDLE: Final = 'I'
_Step = Callable[[Statement, CallerState], Refusal | None]


def execute_locally(
    batch: Batch,
    state: CallerState,
) -> LocalAnswer | Refusal:
    """Carry out a batch with one statement on the session.

    Parameters
    ----------
    batch : Batch
        The batch; it changes something only if it runs the statement.
    state : CallerState
        The session.

    Returns
    -------
    LocalAnswer or Refusal
        What to answer.
    """
    if not batch.statements:
        return LocalAnswer('')
    statement = batch.statements[0]
    if statement.command == 'SHOW':
        return _show(statement, state)
    if statement.effect is Effect.SETTING and state.status != _IDLE:
        told = 'SET inside a transaction; use SET LOCAL'
        return refuse(Code.NOT_SUPPORTED, told)
    if batch.runs:
        refusal = _STEPS[statement.command](statement, state)
        if refusal is not None:
            return refusal
    return LocalAnswer(statement.command)


def _show(statement: Statement, state: CallerState) -> LocalAnswer | Refusal:
    text = state.read(statement.name)
    if text is None:
        return refuse(Code.BAD_SETTING, f'{statement.name} is unknown')
    return LocalAnswer('SHOW', statement.name, text)


def _set(statement: Statement, state: CallerState) -> Refusal | None:
    return state.change(statement.name, statement.argument)


def _reset(statement: Statement, state: CallerState) -> None:
    state.reset(statement.name)


def _deallocate(statement: Statement, state: CallerState) -> None:
    state.deallocate(statement.name)


def _discard(statement: Statement, state: CallerState) -> None:
    state.deallocate('ALL')
    state.reset('all')


_STEPS: Final[Mapping[str, _Step]] = MappingProxyType(
    {
        'SET': _set,
        'RESET': _reset,
        'DEALLOCATE': _deallocate,
        'DISCARD ALL': _discard,
    }
)
