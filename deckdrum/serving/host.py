"""Interface between a caller's session and its node."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from deckdrum.control import Access
from deckdrum.fleet.policies import Policy
from deckdrum.operations import Answer, Request
from deckdrum.outcomes import Code, Refusal
from deckdrum.serving.executor import StatementExecutor
from deckdrum.serving.runners import StatementRunner
from deckdrum.serving.state import SessionState

if TYPE_CHECKING:
    from deckdrum.serving.session import CallerSession

Outcome = Answer | Refusal
#: Refusals of statements that were sent to no server.
_UNSENT_CODES: Final = frozenset((Code.NO_PRIMARY, Code.NOT_READY))
#: The same, except for reads: a server may have run and failed one before.
_UNSENT_CHANGE_CODES: Final = _UNSENT_CODES | {
    Code.QUEUE_FULL,
    Code.QUEUE_TIMEOUT,
}


def is_unsent(outcome: Outcome, *, is_read: bool) -> bool:
    """Return whether no server has run a statement that was refused.

    Examples
    --------
    >>> from deckdrum.outcomes import refuse
    >>> is_unsent(refuse(Code.NO_PRIMARY), is_read=True)
    True
    >>> is_unsent(refuse(Code.QUEUE_TIMEOUT), is_read=True)
    False
    """
    codes = _UNSENT_CODES if is_read else _UNSENT_CHANGE_CODES
    return isinstance(outcome, Refusal) and outcome.code in codes


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
    async def withdraw_operation(self, access: Access) -> None:
        """Undo the count of an admitted operation that has run nowhere."""

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
