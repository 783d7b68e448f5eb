"""Requests for permission to begin an operation of a workspace."""

from typing import Final

import curio

from deckdrum.control import ControlView
from deckdrum.fleet.limit_messages import (
    AskLimit,
    LimitAnswer,
    LimitRole,
    ReturnToken,
)
from deckdrum.fleet.node_peers import NoAnswer, NodePeers
from deckdrum.limits.counter import LimitCounter
from deckdrum.load.queueing import compute_retry_after
from deckdrum.load.rate_limits import (
    URGENT_PRIORITY,
    TokenBucket,
    compute_isolated_allowance,
)
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters
from deckdrum.workspaces import Workspace

#: Longest wait for a coordinator's answer; allows for many round trips between
#: data centres (1 to 3 ms).
COORDINATOR_TIMEOUT_S: Final = 0.1
#: Nodes asked to count one operation: the coordinator and its stand-ins.
MAX_COORDINATORS_ASKED: Final = 2
#: The same in a panel, half of which may be unreachable.  Less than the time
#: limit of an operation (0.6 s) passes with their timeouts.
MAX_PANEL_MEMBERS_ASKED: Final = 4


class LimitClient:
    """Enforces the limits of workspaces for the callers of a node.

    `counter` counts operations on this node and ranks the coordinators.  `view`
    lists the members, and `journal` logs refused operations.
    """

    def __init__(
        self,
        node: str,
        view: ControlView,
        peers: NodePeers,
        counter: LimitCounter,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self._node = node
        self._view = view
        self._peers = peers
        self._counter = counter
        self._journal = journal
        self._counters = counters
        self._isolated_allowances: dict[str, TokenBucket] = {}
        self._refused_count = 0
        #: Coordinator that has counted the latest operation, by workspace.
        self._counted_by: dict[str, str] = {}

    async def try_begin(
        self, workspace: Workspace, priority: int = URGENT_PRIORITY
    ) -> Refusal | None:
        """Count an operation of a workspace, or return a refusal.

        `priority` is that of its route; it has no effect unless some route of
        the configuration is urgent.
        """
        if workspace.rate is None:
            return None
        configuration = self._view.configuration
        if configuration is None or not configuration.has_urgent_routes:
            priority = URGENT_PRIORITY
        answer = await self._ask_coordinators(workspace, priority)
        if answer is None:
            return await self._use_isolated_allowance(workspace, priority)
        if not answer.wait:
            return None
        return self._refuse(
            Code.LIMIT_REACHED, workspace, priority, answer.wait
        )

    async def return_token(self, workspace: Workspace) -> None:
        """Return the token of an operation that has run nowhere.

        Otherwise callers that retry while a group has no primary would use up
        their limit with operations that no server runs.
        """
        configuration = self._view.configuration
        if workspace.rate is None or configuration is None:
            return
        counted_by = self._counted_by.pop(workspace.name, '')
        if not configuration.has_urgent_routes or not counted_by:
            return
        self._counters.count('limit_tokens_returned')
        if counted_by == self._node:
            self._counter.return_token(workspace.name)
            return
        coordinator = self._view.members.get(counted_by)
        if coordinator is not None and coordinator.capacity:
            await self._peers.ask(
                coordinator.endpoint,
                ReturnToken(workspace.name),
                COORDINATOR_TIMEOUT_S,
            )

    async def _ask_coordinators(
        self, workspace: Workspace, priority: int
    ) -> LimitAnswer | None:
        """Ask the coordinator or its stand-ins to count an operation.

        Returns
        -------
        LimitAnswer or None
            None if no coordinator answered.
        """
        role = LimitRole.COORDINATOR
        attempts = 0
        max_attempts = (
            MAX_PANEL_MEMBERS_ASKED
            if self._counter.shares.is_active
            else MAX_COORDINATORS_ASKED
        )
        for name in self._counter.rank(workspace.name):
            if name == self._node:
                answer = await self._counter.try_acquire(
                    workspace, role, priority
                )
                self._log_counted(workspace, name, role)
                return self._record_counted(workspace, name, answer)
            reply = None
            if not self._peers.health.is_unresponsive(name):
                if attempts >= max_attempts:
                    return None
                attempts += 1
                request = AskLimit(workspace.name, role, priority)
                reply = await self._ask_coordinator(name, request)
            if reply is not None and reply.is_kept:
                self._log_counted(workspace, name, role)
                return self._record_counted(workspace, name, reply)
            if reply is None:
                # However its connections fail, it may count for other nodes.
                role = LimitRole.DEPUTY
            elif role is LimitRole.COORDINATOR:
                role = LimitRole.SUCCESSOR
        return None

    def _record_counted(
        self, workspace: Workspace, name: str, answer: LimitAnswer
    ) -> LimitAnswer:
        """Record which coordinator takes back the token of an operation."""
        if answer.is_returnable:
            self._counted_by[workspace.name] = name
        return answer

    def _log_counted(
        self, workspace: Workspace, name: str, role: LimitRole
    ) -> None:
        """Log that another node than the coordinator has counted."""
        if role is not LimitRole.COORDINATOR:
            self._journal.record_rate_limited(
                'limit.counted_in_place',
                workspace=workspace.name,
                by=name,
                role=role,
            )

    async def _ask_coordinator(
        self, name: str, request: AskLimit
    ) -> LimitAnswer | None:
        coordinator = self._view.members.get(name)
        if coordinator is None:
            return None
        if not coordinator.capacity:
            # A node of an earlier version cannot decode a priority.
            request = AskLimit(request.workspace, request.asked_as)
        answer = await self._peers.ask(
            coordinator.endpoint, request, COORDINATOR_TIMEOUT_S
        )
        if isinstance(answer, LimitAnswer):
            return answer
        error: Exception = TimeoutError('no answer to a limit request')
        if isinstance(answer, NoAnswer):
            error = answer.error
        await self._peers.health.record_failure(coordinator, error)
        await self._peers.health.check_all()
        return None

    async def _use_isolated_allowance(
        self, workspace: Workspace, priority: int
    ) -> Refusal | None:
        """Use the small allowance of a node that reaches no coordinator."""
        nodes = len(self._view.members)
        if not nodes:
            # The share of this node is unknown without the number of nodes.
            return self._refuse(Code.LIMIT_UNKNOWN, workspace, priority, 0)
        now = await curio.clock()
        rate = workspace.rate or 0
        isolated_burst, isolated_rate = compute_isolated_allowance(
            workspace.name,
            self._node,
            rate,
            workspace.burst,
            self._counter.tolerance,
            nodes,
        )
        allowance = self._isolated_allowances.get(workspace.name)
        if allowance is None:
            allowance = TokenBucket(isolated_burst, now)
            self._isolated_allowances[workspace.name] = allowance
        if not allowance.try_spend(
            isolated_rate, isolated_burst, now, priority
        ):
            self._counters.count('limits_alone')
            return None
        return self._refuse(Code.LIMIT_UNKNOWN, workspace, priority, 0)

    def _refuse(
        self,
        code: Code,
        workspace: Workspace,
        priority: int,
        wait: float,
    ) -> Refusal:
        self._refused_count += 1
        self._counters.count_limited(workspace.name, code, priority)
        refusal = refuse(
            code,
            f'workspace {workspace.name}, {workspace.rate} a second',
            compute_retry_after(wait, self._refused_count),
        )
        self._journal.record_rate_limited(
            'limit.refused',
            workspace=workspace.name,
            code=code,
            priority=priority,
            rate=workspace.rate,
            burst=workspace.burst,
            retry_after=refusal.retry_after,
            version=self._view.version,
        )
        return refusal
