"""Asking every node to end a term, and what their answers prove.

Only a node that confirms no longer has proof of the term: one that refuses
connections may run on behind a cut.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.control import Kind, Member
from deckdrum.fleet.node_messages import EndTerm, TermEnded
from deckdrum.fleet.node_peers import NoAnswer, PeerAnswer
from deckdrum.leadership.context import (
    LeadershipClaim,
    LeadershipContext,
    PrimaryChangeReport,
)
from deckdrum.leadership.peer_observation import Leader
from deckdrum.serving.runtime import ServiceRuntime

#: Longest wait for nodes to confirm the end of a term; more than a round trip
#: between data centres plus one statement in progress.
END_TERM_TIMEOUT_S: Final = 0.3
#: Nodes that one log line names.
MAX_LOGGED_NODES: Final = 8


@dataclass(frozen=True, slots=True)
class TermEndVotes:
    """Which nodes have confirmed that they stopped using a term's primary.

    Attributes
    ----------
    has_majority : bool
        Whether more than half of the registered nodes have stopped.
    is_unanimous : bool
        Whether every node that was asked has stopped, and none is missing.
    asked : frozenset of tuple
        The other nodes that were asked, by name and run.
    leader : Leader or None
        A primary of a later term that a node uses.
    """

    has_majority: bool
    is_unanimous: bool
    asked: frozenset[tuple[str, str]]
    leader: Leader | None


class TermEnd:
    """Ends a term of one group at all nodes.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    context : LeadershipContext
        Services of the node.
    """

    def __init__(
        self, runtime: ServiceRuntime, context: LeadershipContext
    ) -> None:
        self._runtime = runtime
        self._context = context

    async def ask_nodes(
        self, report: PrimaryChangeReport, claim: LeadershipClaim
    ) -> TermEndVotes:
        """Tell every node to stop using the primary; return which have."""
        term = claim.record.term - 1
        await self._runtime.leadership_state.end_term(
            term, 'this node changes the primary'
        )
        question = EndTerm(
            self._runtime.name,
            term,
            report.is_planned,
            claim.fencing_token,
        )
        own_task = await curio.spawn(
            self._runtime.close_term,
            term,
            report.is_planned,
            claim.fencing_token,
            daemon=True,
        )
        peers = self._context.peers
        asked = [*peers.others, *await self._list_removed()]
        answers = await peers.ask_each(asked, question, END_TERM_TIMEOUT_S)
        await own_task.join()
        confirmed = {
            name
            for name, answer in answers.items()
            if isinstance(answer, TermEnded)
        }
        self._log_unresponsive(answers, term)
        # Plus one for this node.
        stopped = len(self._context.view.members.keys() & confirmed) + 1
        has_majority = stopped * 2 > peers.count_registered()
        # A node whose registration lapsed may still run, cut off, with proof.
        has_asked_all = not peers.has_gone_members
        return TermEndVotes(
            has_majority,
            has_asked_all and answers.keys() <= confirmed,
            frozenset((member.name, member.run) for member in asked),
            _find_later_leader(answers.values()),
        )

    async def has_ended_everywhere(self, votes: TermEndVotes) -> bool:
        """Return whether no node has proof of the old term any more.

        Called once the replicas are fenced, so nodes that register later get
        no proof.  Nodes that registered without being asked may have some, and
        so may those that do not know yet that their entries are gone.  A node
        that restarted has not confirmed: its former process has.
        """
        if not votes.is_unanimous:
            return False
        view = self._context.view
        if not await view.refresh(Kind.MEMBERS):
            return False
        known = [*view.members.values(), *await self._list_removed()]
        unasked = [
            member.name
            for member in known
            if member.name != self._context.node
            and (member.name, member.run) not in votes.asked
        ]
        if unasked:
            self._runtime.journal.record(
                'leadership.nodes_unasked',
                service=self._runtime.name,
                nodes=unasked[:MAX_LOGGED_NODES],
                count=len(unasked),
            )
        return not unasked

    async def _list_removed(self) -> list[Member]:
        """Return the other nodes whose entries have gone a short time ago."""
        view = self._context.view
        removed = view.removed_members.list_recent(await curio.clock())
        return [each for each in removed if each.name != self._context.node]

    def _log_unresponsive(
        self, answers: Mapping[str, PeerAnswer], term: int
    ) -> None:
        unresponsive = {
            name: answer
            for name, answer in answers.items()
            if not isinstance(answer, TermEnded)
        }
        if not unresponsive:
            return
        self._runtime.journal.record(
            'leadership.nodes_silent',
            service=self._runtime.name,
            term=term,
            nodes=list(unresponsive)[:MAX_LOGGED_NODES],
            count=len(unresponsive),
            reasons=sorted({_describe(each) for each in unresponsive.values()}),
        )


def _describe(answer: PeerAnswer) -> str:
    """Return why an answer does not count, for the log."""
    if isinstance(answer, NoAnswer):
        return type(answer.error).__name__
    return type(answer).__name__


def _find_later_leader(answers: Iterable[PeerAnswer]) -> Leader | None:
    """Return the latest primary that nodes use in a later term, if any."""
    leaders = [
        Leader(answer.later_primary, answer.later_term)
        for answer in answers
        if isinstance(answer, TermEnded) and answer.later_term
    ]
    return max(leaders, key=lambda leader: leader.term, default=None)
