"""Statements that are being forwarded, and the results of their attempts."""

from dataclasses import dataclass, field, replace
from typing import Final, TypeVar

import curio

from deckdrum.control import ConsistencyGuarantee, Member, Route
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.node_messages import Forward, ForwardAnswer
from deckdrum.forwarding.encoding import encode_forward
from deckdrum.load.shedding import StatementKind
from deckdrum.outcomes import Refusal
from deckdrum.serving.host import Outcome
from deckdrum.serving.state import Statement

OutcomeT = TypeVar('OutcomeT')

#: Part of a statement's timeout reserved for the response to arrive; less than
#: the holder's own reserve, so that the holder reports a timeout first.
FORWARD_MARGIN_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """Result of one attempt: the answer and its stream, or neither.

    `was_sent` tells whether the statement may have run.
    """

    answer: ForwardAnswer | None
    channel: StreamChannel | None
    was_sent: bool


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """Outcome of a statement, with the holder and the stream it came from."""

    outcome: Outcome
    channel: StreamChannel
    holder: Member


@dataclass(slots=True)
class PendingForward:
    """A statement that is being forwarded.

    Attributes
    ----------
    statement, route
        The statement as it was read, and its route.
    version : int
        Version of the configuration that provided the route.
    is_repeatable : bool
        Whether an attempt without an answer has no lasting effect.
    began, deadline : float
        Times of its start and its deadline, in seconds of the curio clock.
    tried : set of str
        Names of the holders tried so far.
    refusal : Refusal or None
        Refusal of the last holder that could not run it.
    may_have_run : bool
        Whether a holder may have run it.
    next_holder : Member or None
        Holder with free capacity to try after another one's queue was full.
    """

    statement: Statement
    route: Route
    version: int
    is_repeatable: bool
    began: float
    deadline: float
    tried: set[str] = field(default_factory=set)
    refusal: Refusal | None = None
    may_have_run: bool = False
    next_holder: Member | None = None

    @property
    def uses_primary(self) -> bool:
        """Whether only the primary can run it."""
        begin = self.statement.begin
        is_read = self.is_repeatable if begin is None else begin.read_only
        is_current = self.route.guarantee is ConsistencyGuarantee.CURRENT
        return is_current or not is_read

    @classmethod
    async def start(
        cls,
        statement: Statement,
        route: Route,
        version: int,
        is_repeatable: bool,
    ) -> 'PendingForward':
        """Return a forward that starts now."""
        began: float = await curio.clock()
        deadline = began + route.statement_timeout - FORWARD_MARGIN_S
        return cls(
            statement,
            route,
            version,
            is_repeatable,
            began,
            deadline,
        )

    @property
    def kind(self) -> StatementKind:
        """What decides whether load shedding applies to it."""
        return StatementKind(
            max(0, self.route.priority),
            self.statement.workspace,
            needs_primary=self.uses_primary,
        )

    async def make_remaining_route(self) -> Route:
        """Return the route with the remaining time as statement timeout."""
        left = self.deadline + FORWARD_MARGIN_S - await curio.clock()
        return replace(
            self.route, statement_timeout=max(left, FORWARD_MARGIN_S)
        )

    def qualify(self, outcome: OutcomeT) -> OutcomeT | Refusal:
        """Return an outcome that is true after all attempts.

        A holder, or this node, may refuse what an earlier holder has run.
        """
        if self.may_have_run and isinstance(outcome, Refusal):
            return outcome.qualify()
        return outcome

    def encode(self, timeout: float) -> Forward:
        """Return the message that gives a holder `timeout` seconds."""
        route = replace(self.route, statement_timeout=timeout)
        return encode_forward(
            self.statement,
            route,
            self.version,
        )
