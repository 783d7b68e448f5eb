"""Counting of operations on the coordinators of workspace limits."""

from collections.abc import Mapping
from typing import Final

import curio
from msgspec.structs import replace

from deckdrum.control import ControlView, Member
from deckdrum.fleet.limit_messages import AskLimit, LimitAnswer, LimitRole
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.load.capacity import compute_weights
from deckdrum.load.rate_limits import (
    INITIAL_TOKENS,
    TokenBucket,
    Tolerance,
    compute_coordinator_burst,
    compute_deputy_rate,
    rank_coordinators,
    select_coordinators,
)
from deckdrum.workspaces import Workspace

#: Longest wait for a coordinator's answer on behalf of a peer; shorter than the
#: timeout of the peer's own request.
RELAY_TIMEOUT_S: Final = 0.05
#: How long the unused count of a stand-in remains valid.  After that, the
#: coordinator may have counted operations that the stand-in does not know of.
STAND_IN_LIFETIME_S: Final = 2.0
_NOT_COUNTED_HERE: Final = LimitAnswer(is_kept=False, wait=0)


class LimitCounter:
    """Counts operations of the workspaces that this node coordinates.

    `view` lists the members and the current limits, and `tolerance` is how far
    a limit may be exceeded.
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
        self._coordinators: tuple[str, ...] = ()
        self._rankings: dict[str, list[str]] = {}
        #: When the coordinators last changed, on curio's clock.
        self._coordinating_since: float = 0
        self._allowances: dict[str, TokenBucket] = {}
        self._deputy_allowances: dict[str, TokenBucket] = {}

    async def apply_members(self) -> None:
        """Choose the coordinators among the current members."""
        members = self._view.members
        coordinators = select_coordinators(
            {
                name: member.data_centre
                for name, member in members.items()
                if not member.is_leaving and not member.is_gone
            },
            compute_weights(
                {name: member.capacity for name, member in members.items()}
            ),
        )
        if coordinators == self._coordinators:
            return
        self._coordinators = coordinators
        self._rankings.clear()
        self._coordinating_since = await curio.clock()
        for workspace in list(self._allowances):
            # Another node is the coordinator now.
            if self.rank(workspace)[:1] != [self._node]:
                del self._allowances[workspace]
        self._peers.health.set_required_peers(
            'limits', self._list_other_coordinators(members)
        )

    def rank(self, workspace: str) -> list[str]:
        """Return the coordinator of a workspace, followed by its stand-ins."""
        ranked = self._rankings.get(workspace)
        if ranked is None:
            ranked = rank_coordinators(workspace, self._coordinators)
            self._rankings[workspace] = ranked
        return ranked

    async def answer(self, request: AskLimit) -> LimitAnswer:
        """Answer a node that asks to begin an operation."""
        workspace = self._find_workspace(request.workspace)
        if self.is_stopping or workspace is None or workspace.rate is None:
            return _NOT_COUNTED_HERE
        role = LimitRole(request.asked_as)
        if role is LimitRole.DEPUTY:
            answer = await self._relay(request)
            if answer is not None:
                return answer
        return LimitAnswer(
            is_kept=True,
            wait=await self.try_acquire(workspace, role, request.priority),
        )

    async def try_acquire(
        self, workspace: Workspace, role: LimitRole, priority: int
    ) -> float:
        """Count an operation if it may begin now.

        Parameters
        ----------
        workspace : Workspace
            Workspace of the operation; it must have a limit.
        role : LimitRole
            Role in which this node is asked.
        priority : int
            Priority of the operation.

        Returns
        -------
        float
            Time until an operation may begin, in seconds; 0 if it has been
            counted.
        """
        now = await curio.clock()
        rate = workspace.rate or 0
        is_coordinator = self.rank(workspace.name)[:1] == [self._node]
        if is_coordinator or role is LimitRole.SUCCESSOR:
            allowance = self._get_allowance(
                workspace.name, now, is_coordinator=is_coordinator
            )
            burst = compute_coordinator_burst(
                rate, workspace.burst, self.tolerance
            )
            return allowance.try_spend(rate, burst, now, priority)
        deputy_allowance = self._deputy_allowances.get(workspace.name)
        if deputy_allowance is None:
            deputy_allowance = TokenBucket(INITIAL_TOKENS, now)
            self._deputy_allowances[workspace.name] = deputy_allowance
        deputy_rate = compute_deputy_rate(rate, workspace.burst, self.tolerance)
        return deputy_allowance.try_spend(
            deputy_rate, INITIAL_TOKENS, now, priority
        )

    def _get_allowance(
        self,
        name: str,
        now: float,
        *,
        is_coordinator: bool,
    ) -> TokenBucket:
        allowance = self._allowances.get(name)
        is_stale = (
            allowance is not None
            and now - allowance.asked_at > STAND_IN_LIFETIME_S
        )
        if allowance is None or (is_stale and not is_coordinator):
            counted_from = self._coordinating_since if is_coordinator else now
            allowance = TokenBucket(INITIAL_TOKENS, counted_from)
            self._allowances[name] = allowance
        return allowance

    async def _relay(self, request: AskLimit) -> LimitAnswer | None:
        """Forward a request to the coordinator for a node that is cut off."""
        members = self._view.members
        coordinator = members.get(next(iter(self.rank(request.workspace)), ''))
        if coordinator is None or coordinator.name == self._node:
            return None
        if self._peers.health.is_unresponsive(coordinator.name):
            return None
        forwarded = replace(request, asked_as=LimitRole.COORDINATOR)
        answer = await self._peers.ask(
            coordinator.endpoint, forwarded, RELAY_TIMEOUT_S
        )
        if isinstance(answer, LimitAnswer) and answer.is_kept:
            return answer
        return None

    def _find_workspace(self, name: str) -> Workspace | None:
        configuration = self._view.configuration
        book = configuration.workspaces if configuration else None
        return book.workspaces.get(name) if book else None

    def _list_other_coordinators(
        self, members: Mapping[str, Member]
    ) -> list[Member]:
        return [
            members[name] for name in self._coordinators if name != self._node
        ]
