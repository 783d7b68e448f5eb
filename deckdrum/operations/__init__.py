"""Operations of callers and answers of servers, independent of protocol."""

from deckdrum.operations.answers import (
    Answer,
    Rejection,
    RejectionCause,
    TransactionState,
)
from deckdrum.operations.requests import (
    Begin,
    Commit,
    Deallocate,
    Effect,
    Execute,
    Operation,
    Prepare,
    Request,
    Rollback,
    Run,
    SetValue,
)

__all__ = [
    'Answer',
    'Begin',
    'Commit',
    'Deallocate',
    'Effect',
    'Execute',
    'Operation',
    'Prepare',
    'Rejection',
    'RejectionCause',
    'Request',
    'Rollback',
    'Run',
    'SetValue',
    'TransactionState',
]
