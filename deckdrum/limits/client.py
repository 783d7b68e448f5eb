"""Asking whether a workspace may begin one more operation."""

from typing import Final

import curio

from deckdrum.control import ControlView
from deckdrum.fleet.limits import AskLimit, LimitAnswer, LimitRole
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.limits.counting import LimitCounter
from deckdrum.load.limits import TokenBucket, compute_isolated_allowance
from deckdrum.load.waiting import compute_retry_after
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters
from deckdrum.workspaces import Workspace

#: Longest wait for a keeper's answer, in seconds: many round trips between data
#: centres (1 to 3 ms), and a part of the time in which callers want an answer.
COORDINATOR_TIMEOUT_S: Final = 0.1
#: Keepers that are asked in vain for one operation.
MOST_ASKED: Final = 2


class LimitClient:
    """Lets the callers of a node begin operations within limits.

    Parameters
    ----------
    node : str
        This node.
    view : ControlView
        Knows the members.
    peers : NodePeers
        The other nodes.
    counter : LimitCounter
        Counts here, and knows who counts elsewhere.
    journal : Journal
        For operations that were turned away.
    counters : Counters
        For metrics.
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
        self._alone: dict[str, TokenBucket] = {}
        self._refused = 0

    async def try_begin(self, workspace: Workspace) -> Refusal | None:
        """Begin an operation of a workspace; return a refusal if it may not."""
        if workspace.rate is None:
            return None
        wait = await self._ask_keepers(workspace)
        if wait is None:
            return await self._spend_alone(workspace)
        if not wait:
            return None
        return self._refuse(Code.LIMIT_REACHED, workspace, wait)

    async def _ask_keepers(self, workspace: Workspace) -> float | None:
        """Return when an operation may begin, None if no keeper says so.

        Returns
        -------
        float or None
            In seconds; 0 if it has begun.
        """
        asked_as = LimitRole.KEEPER
        asked = 0
        for name in self._counter.rank(workspace.name):
            if name == self._node:
                return await self._counter.take(workspace, asked_as)
            if not self._peers.health.is_silent(name):
                if asked >= MOST_ASKED:
                    return None
                asked += 1
                answer = await self._ask(name, workspace, asked_as)
                if answer is not None and answer.is_kept:
                    return answer.wait
            asked_as = self._find_next(name, asked_as)
        return None

    def _find_next(self, name: str, asked_as: LimitRole) -> LimitRole:
        """Return what the next keeper is, after one that does not count."""
        may_be_partitioned = self._peers.health.may_be_partitioned(name)
        if may_be_partitioned or asked_as is LimitRole.DEPUTY:
            # It may count on for others.
            return LimitRole.DEPUTY
        return LimitRole.SUCCESSOR

    async def _ask(
        self,
        name: str,
        workspace: Workspace,
        asked_as: LimitRole,
    ) -> LimitAnswer | None:
        keeper = self._view.members.get(name)
        if keeper is None:
            return None
        question = AskLimit(workspace.name, asked_as)
        answer = await self._peers.ask(
            keeper.endpoint, question, COORDINATOR_TIMEOUT_S
        )
        if isinstance(answer, LimitAnswer):
            return answer
        error: Exception = TimeoutError('no answer about a limit')
        if isinstance(answer, ConnectionRefusedError):
            error = answer
        await self._peers.health.note_failure(keeper, error)
        await self._peers.health.check_all()
        return None

    async def _spend_alone(self, workspace: Workspace) -> Refusal | None:
        """Begin one of the few operations of a node that reaches no keeper."""
        nodes = len(self._view.members)
        if not nodes:
            # Its part cannot be told: each of very many may be in this state.
            return self._refuse(Code.LIMIT_UNKNOWN, workspace, 0)
        now = await curio.clock()
        rate = workspace.rate or 0
        at_once, alone_rate = compute_isolated_allowance(
            workspace.name,
            self._node,
            rate,
            workspace.burst,
            self._counter.tolerance,
            nodes,
        )
        allowance = self._alone.get(workspace.name)
        if allowance is None:
            allowance = TokenBucket(at_once, now)
            self._alone[workspace.name] = allowance
        if not allowance.take(alone_rate, at_once, now):
            self._counters.count('limits_alone')
            return None
        return self._refuse(Code.LIMIT_UNKNOWN, workspace, 0)

    def _refuse(
        self,
        code: Code,
        workspace: Workspace,
        wait: float,
    ) -> Refusal:
        self._refused += 1
        self._counters.count_limited(workspace.name, code)
        refusal = refuse(
            code,
            f'workspace {workspace.name}, {workspace.rate} a second',
            compute_retry_after(wait, self._refused),
        )
        self._journal.record_often(
            'limit.refused',
            workspace=workspace.name,
            code=code,
            rate=workspace.rate,
            burst=workspace.burst,
            retry_after=refusal.retry_after,
            version=self._view.version,
        )
        return refusal
