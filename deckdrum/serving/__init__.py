"""Sessions, routing, retries and transactions for callers' operations."""

from deckdrum.serving.executor import StatementExecutor
from deckdrum.serving.host import Outcome, SessionHost
from deckdrum.serving.runners import StatementRunner
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.session import CallerSession

__all__ = [
    'CallerSession',
    'Outcome',
    'ServiceRuntime',
    'SessionHost',
    'StatementExecutor',
    'StatementRunner',
]
