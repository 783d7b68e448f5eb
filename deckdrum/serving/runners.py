"""What runs the statements of a group, here or at another node."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from deckdrum.control import Route
from deckdrum.operations import Answer, Begin, Effect, Request
from deckdrum.outcomes import Refusal
from deckdrum.serving.state import (
    ForwardedTransaction,
    PinnedConnection,
    SessionState,
)


@dataclass(frozen=True, slots=True)
class StartedTransaction:
    """A transaction that has begun with its first statement.

    It runs on a connection of this node, or at another node.
    """

    answer: Answer
    pin: PinnedConnection | None = None
    forwarded: ForwardedTransaction | None = None


class StatementRunner(ABC):
    """Runs statements of callers on one database group."""

    @abstractmethod
    async def run_single(
        self,
        request: Request,
        effect: Effect,
        route: Route,
        state: SessionState,
    ) -> Answer | Refusal:
        """Run a statement outside a transaction."""

    @abstractmethod
    async def begin(
        self,
        request: Request,
        begin: Begin,
        route: Route,
        state: SessionState,
    ) -> StartedTransaction | Refusal:
        """Open a transaction with its first statement."""
