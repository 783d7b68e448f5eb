"""What the steps of a change of primary hand to one another."""

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

#: Pause between two rounds of questions, in seconds.
POLL_INTERVAL_S: Final = 0.03


@dataclass(slots=True)
class PrimaryChangeReport:
    """One change of primary.

    `is_takeover` tells that another node has left it undone; `phases` maps
    steps to their end, in seconds.  Once the former primary may have stepped
    down, its term cannot go on.  `finding` tells what stood in the way.
    """

    service: str
    former: str
    reason: str
    is_planned: bool
    is_takeover: bool = False
    term: int = 0
    promoted: str = ''
    step_down_requested: bool = False
    finding: str = ''
    phases: dict[str, float] = field(default_factory=dict)

    async def note(self, phase: str) -> None:
        """Note that a step has just ended."""
        self.phases[phase] = await curio.clock()

    def log(self, journal: Journal, event: str, reason: str) -> None:
        """Write how far the change has come."""
        start = min(self.phases.values(), default=0)
        journal.record(
            event,
            service=self.service,
            term=self.term,
            former=self.former,
            primary=self.promoted,
            planned=self.is_planned,
            reason=reason,
            finding=self.finding,
            phases={
                name: round(ended_at - start, 3)
                for name, ended_at in self.phases.items()
            },
        )


@dataclass(frozen=True, slots=True)
class TermEndVotes:
    """Which nodes have stopped to use a term; dead processes count.

    Without more than half of the registered nodes nothing is changed.  The
    agreement that a term goes on asks for more than half too; so it includes
    one that has consented to the term's end.

    Attributes
    ----------
    has_most : bool
        Whether more than half have.
    is_unanimous : bool
        Whether every one that was asked has.
    asked : frozenset of str
        The nodes that were asked, this one among them.
    """

    has_majority: bool
    is_unanimous: bool
    asked: frozenset[str]


@dataclass(frozen=True, slots=True)
class LeadershipClaim:
    """The right to change a group's primary.

    `fence` is the revision of the claimed record; `sent_at` is when the
    claim was sent, in kernel seconds.
    """

    record: GroupRecord
    fence: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class LeadershipContext:
    """What a node provides to those who watch and change its primaries.

    Attributes
    ----------
    node : str
        Name of the node.
    view : ControlView
        What it knows of the store.
    store : ControlStore
        Where claims are made.
    duty : PromotionDuty
        The platform's call.
    peers : NodePeers
        The other nodes.
    dialer : DetourDialer
        Takes the detours that are found.
    randomness : random.Random
        Source of operation ids.
    policies : frozenset of Policy
        Mechanisms in force.
    """

    node: str
    view: ControlView
    store: ControlStore
    duty: PromotionClient
    peers: NodePeers
    dialer: DetourDialer
    randomness: Random
    policies: frozenset[Policy] = ALL_POLICIES
