"""Interface for running statements locally or on another node."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from deckdrum.control import Route
from deckdrum.operations import Answer, Effect
from deckdrum.outcomes import Refusal
from deckdrum.serving.state import (
    ForwardedTransaction,
    PinnedConnection,
    Statement,
)


@dataclass(frozen=True, slots=True)
class StartedTransaction:
    """An open transaction and the answer to its first statement.

    It runs on a local connection (`pin`) or on another node (`forwarded`).
    """

    answer: Answer
    pin: PinnedConnection | None = None
    forwarded: ForwardedTransaction | None = None


class StatementRunner(ABC):
    """Runs callers' statements on one database group."""

    @abstractmethod
    async def run_autocommit(
        self,
        statement: Statement,
        effect: Effect,
        route: Route,
    ) -> Answer | Refusal:
        """Run a statement outside a transaction."""

    @abstractmethod
    async def begin(
        self,
        statement: Statement,
        route: Route,
    ) -> StartedTransaction | Refusal:
        """Open the statement's transaction, with it as the first one."""
