"""Interface between a caller's session and its node."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from deckdrum.control import Access
from deckdrum.fleet.policies import Policy
from deckdrum.operations import Answer, Request
from deckdrum.outcomes import Refusal
from deckdrum.serving.executor import StatementExecutor
from deckdrum.serving.runners import StatementRunner
from deckdrum.serving.state import SessionState

if TYPE_CHECKING:
    from deckdrum.serving.session import CallerSession

Outcome = Answer | Refusal


class SessionHost(ABC):
    """The node as seen by a caller's session.

    Attributes
    ----------
    policies : frozenset of Policy
        Enabled policies.
    """

    policies: frozenset[Policy]

    @abstractmethod
    def authorize(self, state: SessionState) -> Access | Refusal:
        """Return the access that the configuration grants to a session."""

    @abstractmethod
    async def admit_operation(self, access: Access) -> Refusal | None:
        """Count an operation against its workspace's limit, or refuse it."""

    @abstractmethod
    def find_runner(
        self,
        service: str,
        workspace: str,
    ) -> StatementRunner | None:
        """Return the local or forwarding runner of a workspace, if any."""

    @abstractmethod
    def find_executor(self, service: str) -> StatementExecutor | None:
        """Return the local executor of a group's statements, if any."""

    @abstractmethod
    def record_outcome(
        self,
        session: 'CallerSession',
        request: Request,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Count an operation, and log it if it was refused or late."""
