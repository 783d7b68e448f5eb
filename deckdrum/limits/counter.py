"""Counting of operations on the coordinators of workspace limits."""

from collections.abc import Mapping, Sequence
from typing import Final

import curio
from msgspec.structs import replace

from deckdrum.control import ControlView, Member
from deckdrum.fleet.limit_messages import AskLimit, LimitAnswer, LimitRole
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.limits.shares import LimitShares
from deckdrum.load.capacity import compute_weights
from deckdrum.load.limit_shares import LEASE_S, START_UP_TIME_S
from deckdrum.load.rate_limits import (
    INITIAL_TOKENS,
    TokenBucket,
    Tolerance,
    compute_coordinator_burst,
    compute_deputy_rate,
    compute_panel_deputy_allowance,
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
#: Age up to which a share counts as new, so that its holder may use the
#: allowance of a deputy as well: tokens for usual work are there by then.
NEW_SHARE_AGE_S: Final = 1.0
_WAIT_FOR_SHARE: Final = LimitAnswer(is_kept=True, wait=LEASE_S)
_NOT_COUNTED_HERE: Final = LimitAnswer(is_kept=False, wait=0)


class LimitCounter:
    """Counts operations of the workspaces that this node coordinates.

    `view` lists the members and the current limits, `tolerance` is how far
    a limit may be exceeded, and `shares` has the node's shares of the limits.
    """

    def __init__(
        self,
        node: str,
        view: ControlView,
        peers: NodePeers,
        tolerance: Tolerance,
        shares: LimitShares,
    ) -> None:
        self.is_stopping = False
        self.tolerance = tolerance
        #: Shares of the limits, where coordinators form panels.
        self.shares = shares
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
        now = await curio.clock()
        are_same = coordinators == self._coordinators
        was_active = self.shares.is_active
        if was_active and not are_same:
            self._settle_shares(now)
        has_changed = self.shares.apply_coordinators(
            [members[name] for name in coordinators], now
        )
        if are_same and not has_changed:
            return
        self._coordinators = coordinators
        self._rankings.clear()
        self._coordinating_since = now
        if self.shares.is_active and (are_same or not was_active):
            self._allowances.clear()
        if not self.shares.is_active:
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
            ranked = (
                self.shares.rank(workspace)
                if self.shares.is_active
                else rank_coordinators(workspace, self._coordinators)
            )
            self._rankings[workspace] = ranked
        return ranked

    async def answer(self, request: AskLimit) -> LimitAnswer:
        """Answer a node that asks to begin an operation."""
        workspace = self._find_workspace(request.workspace)
        if workspace is None or workspace.rate is None:
            return _NOT_COUNTED_HERE
        is_stepping_down = self.is_stopping
        if self.shares.is_active and self.is_stopping:
            # The others get the shares that this node no longer borrows.
            ranked = self.rank(workspace.name)
            usable = self.shares.list_usable(ranked, await curio.clock())
            is_stepping_down = len(usable) * 2 <= len(ranked)
        if is_stepping_down:
            return _NOT_COUNTED_HERE
        if self.shares.is_active:
            return await self._answer_in_panel(workspace, request)
        role = LimitRole(request.asked_as)
        if role is LimitRole.DEPUTY:
            answer = await self._relay(request)
            if answer is not None:
                return answer
        return await self.try_acquire(workspace, role, request.priority)

    def return_token(self, workspace: str) -> None:
        """Undo the count of an operation that has run nowhere.

        Ignored if this node has begun to count anew since then.
        """
        allowance = self._allowances.get(workspace)
        if allowance is not None:
            allowance.return_token()

    async def try_acquire(
        self, workspace: Workspace, role: LimitRole, priority: int
    ) -> LimitAnswer:
        """Count an operation of this node if it may begin now.

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
        LimitAnswer
            Whether it has been counted, or the time until it may begin.
        """
        if self.shares.is_active:
            request = AskLimit(workspace.name, role, priority)
            answer = await self._answer_in_panel(workspace, request)
            return answer if answer.is_kept else _WAIT_FOR_SHARE
        wait = await self._spend_whole_limit(workspace, role, priority)
        return LimitAnswer(is_kept=True, wait=wait)

    async def _spend_whole_limit(
        self, workspace: Workspace, role: LimitRole, priority: int
    ) -> float:
        """Count an operation where coordinators do not share limits."""
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

    async def _answer_in_panel(
        self, workspace: Workspace, request: AskLimit
    ) -> LimitAnswer:
        """Count an operation with this node's shares, or ask their holder."""
        name = workspace.name
        ranked = self.rank(name)
        now = await curio.clock()
        usable = self.shares.list_usable(ranked, now)
        if usable:
            wait = self._spend_shares(
                workspace, usable, len(ranked), request.priority, now
            )
            is_returnable = not wait
            if wait and now - max(usable) < NEW_SHARE_AGE_S:
                # A new share brings no tokens.  The allowance of a deputy is
                # counted apart, so that it may be used beside shares.
                wait = min(
                    wait,
                    await self._spend_as_deputy(
                        workspace, ranked, request.priority
                    ),
                )
            return LimitAnswer(True, wait, is_returnable)
        # A request with this role has been relayed already.
        if request.asked_as != LimitRole.SUCCESSOR:
            holder = self._view.members.get(
                self.shares.find_holder(ranked, now) or ''
            )
            answer = await self._ask_holder(
                holder, replace(request, asked_as=LimitRole.SUCCESSOR)
            )
            if answer is not None:
                # The node that asks knows this one only.
                return replace(answer, is_returnable=False)
        if self._node not in ranked:
            return _NOT_COUNTED_HERE
        wait = await self._spend_as_deputy(workspace, ranked, request.priority)
        # This node or another one has a share by then.
        return LimitAnswer(is_kept=True, wait=min(wait, LEASE_S))

    def _spend_shares(
        self,
        workspace: Workspace,
        usable: Sequence[float],
        members: int,
        priority: int,
        now: float,
    ) -> float:
        allowance = self._allowances.get(workspace.name)
        if allowance is None:
            counted_from = self._coordinating_since - START_UP_TIME_S
            allowance = TokenBucket(0, counted_from)
            self._allowances[workspace.name] = allowance
        rate, burst = self._compute_share(workspace, members)
        return allowance.try_spend_shares(usable, rate, burst, now, priority)

    def _compute_share(
        self, workspace: Workspace, members: int
    ) -> tuple[float, float]:
        """Return rate and burst of one share of a limit."""
        rate = workspace.rate or 0
        burst = compute_coordinator_burst(rate, workspace.burst, self.tolerance)
        return rate / members, burst / members

    def _settle_shares(self, now: float) -> None:
        """Count until now with the shares of the present panels."""
        for name, allowance in list(self._allowances.items()):
            ranked = self.rank(name)
            usable = self.shares.list_usable(ranked, now)
            workspace = self._find_workspace(name)
            if not usable or workspace is None:
                del self._allowances[name]
                continue
            rate, burst = self._compute_share(workspace, len(ranked))
            allowance.settle_shares(usable, rate, burst, now)

    async def _spend_as_deputy(
        self, workspace: Workspace, ranked: list[str], priority: int
    ) -> float:
        """Use the allowance of a member of a panel without any share."""
        now = await curio.clock()
        burst, rate = compute_panel_deputy_allowance(
            workspace.rate or 0,
            workspace.burst,
            self.tolerance,
            len(ranked),
            ranked.index(self._node),
        )
        allowance = self._deputy_allowances.get(workspace.name)
        if allowance is None:
            allowance = TokenBucket(burst, now)
            self._deputy_allowances[workspace.name] = allowance
        return allowance.try_spend(rate, burst, now, priority)

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
        return await self._ask_holder(coordinator, forwarded)

    async def _ask_holder(
        self, holder: Member | None, request: AskLimit
    ) -> LimitAnswer | None:
        """Return the answer of a node that counts; None if there is none."""
        if holder is None:
            return None
        if not holder.capacity:
            # A node of an earlier version cannot decode a priority.
            request = AskLimit(request.workspace, request.asked_as)
        answer = await self._peers.ask(
            holder.endpoint, request, RELAY_TIMEOUT_S
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
