"""Counting operations of workspaces, at the nodes that keep their limits."""

from collections.abc import Mapping
from typing import Final

import curio

from deckdrum.control import ControlView, Member
from deckdrum.fleet.limits import AskLimit, LimitAnswer, LimitRole
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.load.limits import (
    INITIAL_TOKENS,
    TokenBucket,
    Tolerance,
    compute_coordinator_burst,
    compute_deputy_rate,
    rank_keepers,
    select_coordinators,
)
from deckdrum.workspaces import Workspace

#: Longest wait for a keeper's answer that is asked for on behalf of a peer, in
#: seconds; below the peer's own patience.
RELAY_TIMEOUT_S: Final = 0.05
#: How long a stand-in's count is kept without being asked, in seconds.  What
#: was not used meanwhile was used at the keeper.
STAND_IN_LIFETIME_S: Final = 2.0
_NOT_HERE: Final = LimitAnswer(is_kept=False, wait=0)


class LimitCounter:
    """Counts for the workspaces that this node keeps the limits of.

    Parameters
    ----------
    node : str
        This node.
    view : ControlView
        Knows the members and the limits in force.
    peers : NodePeers
        The other nodes.
    tolerance : Tolerance
        What may be begun beyond a limit.
    """

    def __init__(
        self,
        node: str,
        view: ControlView,
        peers: NodePeers,
        tolerance: Tolerance,
    ) -> None:
        self.is_stopping = False
        self.tolerance = tolerance
        self._node = node
        self._view = view
        self._peers = peers
        self._keepers: tuple[str, ...] = ()
        self._ranks: dict[str, list[str]] = {}
        #: Since when this node keeps what it keeps, in kernel seconds.
        self._since: float = 0
        self._kept: dict[str, TokenBucket] = {}
        self._spare: dict[str, TokenBucket] = {}

    async def apply_members(self) -> None:
        """Take over which nodes keep limits."""
        members = self._view.members
        keepers = select_coordinators(
            {
                name: member.data_centre
                for name, member in members.items()
                if not member.is_leaving and not member.is_gone
            },
        )
        if keepers == self._keepers:
            return
        self._keepers = keepers
        self._ranks.clear()
        self._since = await curio.clock()
        for workspace in list(self._kept):
            # Another node counts on from here.
            if self.rank(workspace)[:1] != [self._node]:
                del self._kept[workspace]
        self._peers.health.set_required_peers(
            'limits', self._list_others(members)
        )

    def rank(self, workspace: str) -> list[str]:
        """Return who keeps a workspace's limit, and then who stands in."""
        ranked = self._ranks.get(workspace)
        if ranked is None:
            ranked = rank_keepers(workspace, self._keepers)
            self._ranks[workspace] = ranked
        return ranked

    async def answer(self, question: AskLimit) -> LimitAnswer:
        """Answer a node that wants to begin an operation."""
        workspace = self._find_workspace(question.workspace)
        if self.is_stopping or workspace is None or workspace.rate is None:
            return _NOT_HERE
        asked_as = LimitRole(question.asked_as)
        if asked_as is LimitRole.DEPUTY:
            answer = await self._relay(question)
            if answer is not None:
                return answer
        return LimitAnswer(
            is_kept=True,
            wait=await self.take(workspace, asked_as),
        )

    async def take(self, workspace: Workspace, asked_as: LimitRole) -> float:
        """Begin an operation, or return when one may be, in seconds.

        Parameters
        ----------
        workspace : Workspace
            Whose; it has a limit.
        asked_as : AskedAs
            What this node is to the one that asks.
        """
        now = await curio.clock()
        rate = workspace.rate or 0
        is_first = self.rank(workspace.name)[:1] == [self._node]
        if is_first or asked_as is LimitRole.SUCCESSOR:
            allowance = self._find_kept(workspace.name, now, is_first=is_first)
            burst = compute_coordinator_burst(
                rate, workspace.burst, self.tolerance
            )
            return allowance.take(rate, burst, now)
        spare = self._spare.get(workspace.name)
        if spare is None:
            spare = TokenBucket(INITIAL_TOKENS, now)
            self._spare[workspace.name] = spare
        spare_rate = compute_deputy_rate(rate, workspace.burst, self.tolerance)
        return spare.take(spare_rate, INITIAL_TOKENS, now)

    def _find_kept(
        self,
        name: str,
        now: float,
        *,
        is_first: bool,
    ) -> TokenBucket:
        kept = self._kept.get(name)
        is_stale = (
            kept is not None and now - kept.asked_at > STAND_IN_LIFETIME_S
        )
        if kept is None or (is_stale and not is_first):
            since = self._since if is_first else now
            kept = TokenBucket(INITIAL_TOKENS, since)
            self._kept[name] = kept
        return kept

    async def _relay(self, question: AskLimit) -> LimitAnswer | None:
        """Ask the keeper, which the other node does not reach."""
        members = self._view.members
        keeper = members.get(next(iter(self.rank(question.workspace)), ''))
        if keeper is None or keeper.name == self._node:
            return None
        if self._peers.health.is_silent(keeper.name):
            return None
        relayed = AskLimit(question.workspace, LimitRole.KEEPER)
        answer = await self._peers.ask(
            keeper.endpoint, relayed, RELAY_TIMEOUT_S
        )
        if isinstance(answer, LimitAnswer) and answer.is_kept:
            return answer
        return None

    def _find_workspace(self, name: str) -> Workspace | None:
        configuration = self._view.configuration
        book = configuration.workspaces if configuration else None
        return book.workspaces.get(name) if book else None

    def _list_others(self, members: Mapping[str, Member]) -> list[Member]:
        return [members[name] for name in self._keepers if name != self._node]
