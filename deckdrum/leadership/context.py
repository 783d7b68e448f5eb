"""Data types shared by the steps of a primary change."""

from dataclasses import dataclass, field
from random import Random
from typing import Final

import curio

from deckdrum.control import ControlStore, ControlView
from deckdrum.fleet.detours import DetourDialer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.leadership.promotion_client import PromotionClient
from deckdrum.store.records import GroupRecord
from deckdrum.utils import Journal

#: Interval at which servers are polled for an expected state.
POLL_INTERVAL_S: Final = 0.03


@dataclass(slots=True)
class PrimaryChangeReport:
    """Progress of one primary change.

    Attributes
    ----------
    service : str
        The database group.
    former : str
        Id of the primary to replace.
    reason : str
        Why it is replaced.
    is_planned : bool
        Whether the former primary still works and can hand over.
    unfinished_operation : str
        Operation of the unfinished claim that this change takes over; empty if
        it takes over none.
    term : int
        Term of the new primary; 0 before the claim.
    promoted : str
        Id of the new primary; empty before the promotion.
    step_down_requested : bool
        Whether the former primary may have stepped down, so that its term
        cannot resume.
    failure_detail : str
        What prevented the change.
    phases : dict of str to float
        End of each step, in kernel seconds.
    """

    service: str
    former: str
    reason: str
    is_planned: bool
    unfinished_operation: str = ''
    term: int = 0
    promoted: str = ''
    step_down_requested: bool = False
    failure_detail: str = ''
    phases: dict[str, float] = field(default_factory=dict)

    @property
    def is_takeover(self) -> bool:
        """Whether the change was claimed before and not finished."""
        return bool(self.unfinished_operation)

    async def record_phase(self, phase: str) -> None:
        """Record that a step has just ended."""
        self.phases[phase] = await curio.clock()

    def log(self, journal: Journal, event: str, reason: str) -> None:
        """Log the state of the change."""
        start = min(self.phases.values(), default=0)
        journal.record(
            event,
            service=self.service,
            term=self.term,
            former=self.former,
            primary=self.promoted,
            planned=self.is_planned,
            reason=reason,
            finding=self.failure_detail,
            phases={
                name: round(ended_at - start, 3)
                for name, ended_at in self.phases.items()
            },
        )


@dataclass(frozen=True, slots=True)
class LeadershipClaim:
    """The exclusive right to change a group's primary.

    Attributes
    ----------
    record : GroupRecord
        The claimed record.
    fencing_token : int
        Revision of the claimed record.
    sent_at : float
        When the claim was sent to the store, in kernel seconds.
    """

    record: GroupRecord
    fencing_token: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class LeadershipContext:
    """Services of the node that monitoring and primary changes use.

    Attributes
    ----------
    node : str
        Name of the node.
    view : ControlView
        The node's copy of the control store.
    store : ControlStore
        Stores claims.
    promotion_client : PromotionClient
        Calls the platform to promote a server.
    peers : NodePeers
        The other nodes.
    dialer : DetourDialer
        Connects to servers, directly or by a detour through another node.
    randomness : random.Random
        Generates operation ids and samples nodes.
    policies : frozenset of Policy
        Enabled mechanisms.
    """

    node: str
    view: ControlView
    store: ControlStore
    promotion_client: PromotionClient
    peers: NodePeers
    dialer: DetourDialer
    randomness: Random
    policies: frozenset[Policy] = ALL_POLICIES
