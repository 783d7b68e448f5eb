"""What a caller's session needs of its node."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from deckdrum.control import Access
from deckdrum.fleet.policies import Policy
from deckdrum.operations import Answer, Request
from deckdrum.outcomes import Refusal
from deckdrum.serving.execution import Execution
from deckdrum.serving.runners import StatementRunner
from deckdrum.serving.state import SessionState

if TYPE_CHECKING:
    from deckdrum.serving.session import CallerSession

Outcome = Answer | Refusal


class SessionHost(ABC):
    """What a session needs of its node.

    Attributes
    ----------
    policies : frozenset of Policy
        Mechanisms in force.
    """

    policies: frozenset[Policy]

    @abstractmethod
    def find_access(self, state: SessionState) -> Access | Refusal:
        """Return what a session may use now."""

    @abstractmethod
    async def spend_limit(self, access: Access) -> Refusal | None:
        """Begin an operation within its workspace's limit, or refuse it."""

    @abstractmethod
    def find_runner(
        self,
        service: str,
        workspace: str,
    ) -> StatementRunner | None:
        """Return what runs a workspace's statements: this node, or another."""

    @abstractmethod
    def find_execution(self, service: str) -> Execution | None:
        """Return what runs statements of a group at this node itself."""

    @abstractmethod
    def note_outcome(
        self,
        session: 'CallerSession',
        request: Request,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Count an operation, and log it if it was unserved or late."""
