"""Execution of statements that affect only the session state of the proxy."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from deckdrum.callers.answers import LocalAnswer
from deckdrum.callers.batches import Batch
from deckdrum.callers.state import CallerState
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.statements import Effect, Statement

_IDLE: Final = 'I'
_Executor = Callable[[Statement, CallerState], Refusal | None]


def execute_locally(
    batch: Batch,
    state: CallerState,
) -> LocalAnswer | Refusal:
    """Execute a batch of one statement on the session state.

    Parameters
    ----------
    batch : Batch
        The batch; the session changes only if the batch executes it.
    state : CallerState
        The session.

    Returns
    -------
    LocalAnswer or Refusal
        The response.
    """
    if not batch.statements:
        return LocalAnswer('')
    statement = batch.statements[0]
    if statement.command == 'SHOW':
        return _show(statement, state)
    if statement.effect is Effect.SETTING and state.status != _IDLE:
        detail = 'SET inside a transaction; use SET LOCAL'
        return refuse(Code.NOT_SUPPORTED, detail)
    if batch.executes:
        refusal = _EXECUTORS[statement.command](statement, state)
        if refusal is not None:
            return refusal
    return LocalAnswer(statement.command)


def _show(statement: Statement, state: CallerState) -> LocalAnswer | Refusal:
    text = state.read_setting(statement.name)
    if text is None:
        return refuse(Code.BAD_SETTING, f'{statement.name} is unknown')
    return LocalAnswer('SHOW', statement.name, text)


def _set(statement: Statement, state: CallerState) -> Refusal | None:
    return state.change_setting(statement.name, statement.argument)


def _reset(statement: Statement, state: CallerState) -> None:
    state.reset_setting(statement.name)


def _deallocate(statement: Statement, state: CallerState) -> None:
    state.deallocate(statement.name)


def _discard(statement: Statement, state: CallerState) -> None:
    state.deallocate('ALL')
    state.reset_setting('all')


_EXECUTORS: Final[Mapping[str, _Executor]] = MappingProxyType(
    {
        'SET': _set,
        'RESET': _reset,
        'DEALLOCATE': _deallocate,
        'DISCARD ALL': _discard,
    }
)
