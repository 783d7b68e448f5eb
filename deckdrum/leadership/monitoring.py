"""Monitoring a group's primary and deciding when to replace it.

Every node monitors the primary through its own traffic.  A node that finds the
primary unresponsive asks other nodes whether they reach it, and starts a change
only if none does.  Nodes act in a ranked order, so that usually one acts alone.
"""

from collections.abc import Container
from typing import Final

import curio

from deckdrum.control import Kind, Member
from deckdrum.fleet.node_messages import (
    AskServer,
    ServerAnswer,
)
from deckdrum.fleet.policies import Policy
from deckdrum.leadership.context import LeadershipContext, PrimaryChangeReport
from deckdrum.leadership.peer_observation import Leader, PeerObserver
from deckdrum.leadership.primary_change import PrimaryChanger
from deckdrum.leadership.record_store import (
    CLAIM_TAKEOVER_DELAY_S,
    LeadershipRecordStore,
)
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.utils.ranks import compute_rendezvous_rank

#: Interval between checks while the primary is healthy.
CHECK_INTERVAL_S: Final = 0.1
#: Longest wait for a status request after a failure.  An overloaded server
#: answers late, so this must exceed the time its queue takes.
STATUS_PROBE_TIMEOUT_S: Final = 0.3
#: Longest wait for a connection, to tell a cut link from an overloaded server;
#: several round trips.
CONNECT_PROBE_TIMEOUT_S: Final = 0.2
#: Number of nodes, by rank, that ask all others at the first sign of a loss.
#: The rest ask a sample, to avoid a quadratic number of messages.
FULL_PROBE_RANKS: Final = 2
#: Number of peers up to which every node asks all of them: three in each of
#: five data centres.
MAX_FULL_PROBE_PEERS: Final = 24
#: Delay per rank before a node acts; longer than the first node needs to ask
#: its peers and claim the change.
RANK_DELAY_S: Final = 0.25
#: Delay per rank before a planned change.
PLANNED_RANK_DELAY_S: Final = 0.8
#: Number of peers that the rest ask.
PROBE_SAMPLE_SIZE: Final = 6
#: Interval at which a direct connection is retried during a detour.
DETOUR_RETRY_INTERVAL_S: Final = 1.0
#: Delay after a change that failed or that peers vetoed.
RETRY_DELAY_S: Final = 0.4
#: Interval between attempts to store a missing leadership record.
RECORD_RETRY_INTERVAL_S: Final = 1.0
#: Time without a known primary after which one is promoted.
NO_PRIMARY_TIMEOUT_S: Final = 1.0
#: Time after registration before a node may change a primary.  A node that has
#: just started does not know its peers yet and would act alone.
MEMBERSHIP_SETTLE_TIME_S: Final = 1.0
#: How long after a change servers are made to follow the new term.
RECONCILE_DURATION_S: Final = 6.0
RECONCILE_INTERVAL_S: Final = 0.5


class PrimaryMonitor:
    """Monitors the primary of one group and replaces it when it is lost.

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
        self._primary_changer = PrimaryChanger(runtime, context)
        self._records = LeadershipRecordStore(runtime, context)
        self._observer = PeerObserver(runtime, context.peers)
        self._next_record_at = float('-inf')
        self._missing_since: float | None = None
        self._claim_first_seen: tuple[str, float] = ('', 0)
        #: Settled change of which a fence remains, and since when it was seen.
        self._fence_first_seen: tuple[str, float] = ('', 0)
        self._reconcile_until = float('-inf')
        self._failed_server: ServerHandle | None = None
        self._detour_until = float('-inf')
        self._registered_since: float | None = None
        #: Nodes that did not answer the latest probe.
        self._unresponsive_peers: frozenset[str] = frozenset()

    def handle_server_failure(self, handle: ServerHandle) -> None:
        """Schedule a check of a server that failed, if it is the primary."""
        if handle.id == self._runtime.leadership_state.primary:
            self._failed_server = handle

    async def run(self) -> None:
        """Monitor the primary until cancelled."""
        while True:
            await curio.sleep(await self._check())

    async def _check(self) -> float:
        """Run one check; return the delay before the next one."""
        is_idle = self._runtime.is_changing_primary or not self._runtime.servers
        if is_idle or not await self._is_registered_long_enough():
            return CHECK_INTERVAL_S
        record = self._runtime.leadership_state.record
        if record is not None and record.phase is Phase.FENCING:
            return await self._check_claim(record)
        if not self._runtime.allocator.is_holder:
            # Only holders of connections observe the servers.
            self._missing_since = None
            return CHECK_INTERVAL_S
        primary = self._runtime.primary
        if primary is None:
            return await self._check_missing_primary()
        self._missing_since = None
        if record is None:
            await self._create_initial_record()
        if primary.server.is_draining:
            return await self._replace_draining(primary)
        if self._failed_server is primary:
            self._failed_server = None
            return await self._check_failed_primary(primary)
        if primary.id in self._context.dialer.detours:
            return await self._check_detour(primary)
        return await self._reconcile_after_change()

    async def _reconcile_after_change(self) -> float:
        """Make servers follow the new term for a while after a change."""
        now = await curio.clock()
        if now >= self._reconcile_until and not self._has_stale_fence(now):
            return CHECK_INTERVAL_S
        await self._primary_changer.reconcile_servers()
        return RECONCILE_INTERVAL_S

    def _has_stale_fence(self, now: float) -> bool:
        """Return whether a replica is still fenced for a settled change.

        Its driver may be gone or cut off from it.  No claim lasts as long as
        the fence must have been seen.
        """
        state = self._runtime.leadership_state
        is_fenced = any(
            handle.status is not None and handle.status.fenced_term
            for handle in self._runtime.replicas
        )
        operation = state.record.operation if is_fenced and state.record else ''
        if self._fence_first_seen[0] != operation:
            self._fence_first_seen = (operation, now)
        is_old = now - self._fence_first_seen[1] >= CLAIM_TAKEOVER_DELAY_S
        return bool(operation) and is_old and state.is_primary_usable(now)

    async def _is_registered_long_enough(self) -> bool:
        """Return whether this node has been registered long enough to act."""
        now: float = await curio.clock()
        if self._context.view.get_member(self._context.node) is None:
            self._registered_since = None
            return False
        if self._registered_since is None:
            self._registered_since = now
        return now - self._registered_since >= MEMBERSHIP_SETTLE_TIME_S

    async def _create_initial_record(self) -> None:
        """Store the current primary if the store has no record of the group."""
        now = await curio.clock()
        is_listed = Kind.LEADERSHIP in self._context.view.listed_at
        if not is_listed or now < self._next_record_at:
            return
        self._next_record_at = now + RECORD_RETRY_INTERVAL_S
        if self._rank() == 0:
            # In the background, since the store may be unavailable.
            await curio.spawn(self._records.create_initial, daemon=True)

    async def _check_claim(self, record: GroupRecord) -> float:
        """Settle or take over a change that its driver did not finish."""
        now = await curio.clock()
        if self._claim_first_seen[0] != record.operation:
            self._claim_first_seen = (record.operation, now)
        delay = CLAIM_TAKEOVER_DELAY_S + self._rank() * RANK_DELAY_S
        if record.driver == self._context.node:
            delay = 0
        elif not record.driver:
            delay = RETRY_DELAY_S + self._rank() * RANK_DELAY_S
        if now - self._claim_first_seen[1] < delay:
            return CHECK_INTERVAL_S
        leader = await self._find_promoted(record)
        if leader is not None:
            await self._records.settle_completed(record, leader)
            return RETRY_DELAY_S
        return await self._change(
            record.former,
            'its driver did not finish the change',
            unfinished_operation=record.operation,
        )

    async def _find_promoted(self, claimed: GroupRecord) -> Leader | None:
        """Return the primary that an unfinished change has promoted, if any."""
        await self._runtime.discover_primary()
        state = self._runtime.leadership_state
        if self._records.is_completed(claimed):
            return Leader(state.primary, state.term)
        return await self._observer.find_leader(
            self._runtime.servers, claimed.term
        )

    async def _check_missing_primary(self) -> float:
        """Search for a primary; promote one if none is found in time."""
        now = await curio.clock()
        if self._missing_since is None:
            self._missing_since = now
        await self._runtime.discover_primary()
        if self._runtime.primary is not None:
            return CHECK_INTERVAL_S
        delay = NO_PRIMARY_TIMEOUT_S + self._rank() * RANK_DELAY_S
        if now - self._missing_since < delay:
            return CHECK_INTERVAL_S
        record = self._runtime.leadership_state.record
        recorded = '' if record is None else record.primary
        former = self._runtime.leadership_state.primary or recorded
        if await self._is_reached_elsewhere(former):
            return RETRY_DELAY_S
        return await self._change(former, 'no server reports the primary role')

    async def _replace_draining(self, primary: ServerHandle) -> float:
        if not any(
            not handle.server.is_draining for handle in self._runtime.replicas
        ):
            return RETRY_DELAY_S
        rank = self._rank()
        if rank:
            await curio.sleep(rank * PLANNED_RANK_DELAY_S)
            if self._runtime.primary is not primary:
                return 0
        status = await self._runtime.query_server(primary)
        # A primary that may stop at any moment cannot hand over.
        has_time = not primary.drain_status.may_terminate(await curio.clock())
        is_planned = status is not None and has_time
        reason = 'the primary is draining'
        return await self._change(primary.id, reason, is_planned=is_planned)

    async def _check_failed_primary(self, primary: ServerHandle) -> float:
        """Replace the primary if neither this node nor a peer reaches it."""
        if await self._is_responsive(primary):
            return CHECK_INTERVAL_S
        peer_count = len(self._observer.list_observers())
        is_full_probe_rank = self._rank() < FULL_PROBE_RANKS
        ask_all = is_full_probe_rank or peer_count <= MAX_FULL_PROBE_PEERS
        if await self._is_reached_by_peers(primary, ask_all=ask_all):
            return CHECK_INTERVAL_S
        # Unresponsive nodes are not waited for.
        rank = self._rank(self._unresponsive_peers)
        if rank:
            await curio.sleep(rank * RANK_DELAY_S)
            if self._runtime.primary is not primary:
                return 0
            if await self._is_responsive(primary):
                return CHECK_INTERVAL_S
            if await self._is_reached_by_peers(primary, ask_all=True):
                return CHECK_INTERVAL_S
        return await self._change(primary.id, 'the primary does not answer')

    async def _is_responsive(self, primary: ServerHandle) -> bool:
        """Return whether a server answers this node at all."""
        asked_at = await curio.clock()
        status = await primary.query_status(STATUS_PROBE_TIMEOUT_S)
        return status is not None or primary.has_answered(asked_at)

    async def _is_reached_by_peers(
        self,
        primary: ServerHandle,
        *,
        ask_all: bool,
    ) -> bool:
        """Return whether any other node reaches the primary.

        If this node has no direct path to it, a detour is set up.
        """
        self._context.dialer.detours.pop(primary.id, None)
        question = AskServer(self._runtime.name, primary.id)
        peers = self._context.peers
        asked = self._observer.list_observers()
        if not ask_all:
            count = min(PROBE_SAMPLE_SIZE, len(asked))
            asked = self._context.randomness.sample(asked, count)
        # Concurrently with the path check, so that a detour is found sooner.
        asking = await curio.spawn(peers.ask_each, asked, question)
        has_path = await self._has_path(primary)
        primary.is_unreachable = not has_path
        answers = await asking.join()
        self._unresponsive_peers = frozenset(
            name
            for name, answer in answers.items()
            if not isinstance(answer, ServerAnswer)
        )
        members = self._context.view.members
        reaching = [
            members[name]
            for name, answer in answers.items()
            if isinstance(answer, ServerAnswer)
            and answer.reached
            and name in members
        ]
        if not reaching:
            return False
        if has_path:
            # The primary is overloaded; a detour would only add load.
            self._runtime.journal.record_rate_limited(
                'primary.slow',
                service=self._runtime.name,
                server=primary.id,
                reached_by=reaching[0].name,
            )
            return True
        if Policy.DETOURS in self._context.policies:
            member = self._context.randomness.choice(reaching)
            await self._start_detour(primary, member)
        return True

    async def _has_path(self, primary: ServerHandle) -> bool:
        """Return whether this node can connect to a server directly."""
        try:
            stream = await self._context.dialer.dial_direct(
                primary.server.address,
                CONNECT_PROBE_TIMEOUT_S,
            )
        except ConnectionError:
            return False
        await stream.close()
        return True

    async def _start_detour(
        self,
        primary: ServerHandle,
        member: Member,
    ) -> None:
        """Route connections to a primary through a node that reaches it."""
        self._context.dialer.detours[primary.id] = member.endpoint
        self._detour_until = await curio.clock() + DETOUR_RETRY_INTERVAL_S
        primary.is_unreachable = False
        # Existing connections hang until the link is restored.
        await primary.pool.close_idle()
        self._runtime.journal.record(
            'detour.taken',
            service=self._runtime.name,
            server=primary.id,
            through=member.name,
        )
        self._runtime.counters.count('detours_taken')

    async def _check_detour(self, primary: ServerHandle) -> float:
        """End the detour once the server can be reached directly."""
        now = await curio.clock()
        if now < self._detour_until:
            return CHECK_INTERVAL_S
        self._detour_until = now + DETOUR_RETRY_INTERVAL_S
        if not await self._has_path(primary):
            return CHECK_INTERVAL_S
        self._context.dialer.detours.pop(primary.id, None)
        await primary.pool.close_idle()
        self._runtime.journal.record(
            'detour.ended',
            service=self._runtime.name,
            server=primary.id,
        )
        return CHECK_INTERVAL_S

    async def _is_reached_elsewhere(self, former: str) -> bool:
        """Return whether another node reaches the primary of a term in use."""
        leader = await self._observer.find_leader(
            {former, *self._runtime.servers}, min_term=1
        )
        if leader is None:
            return False
        state = self._runtime.leadership_state
        if leader.term <= state.ended_term:
            return False
        self._runtime.journal.record(
            'leadership.change_vetoed',
            service=self._runtime.name,
            primary=leader.server,
            term=leader.term,
        )
        return True

    async def _change(
        self,
        former: str,
        reason: str,
        *,
        is_planned: bool = False,
        unfinished_operation: str = '',
    ) -> float:
        report = PrimaryChangeReport(
            self._runtime.name,
            former,
            reason,
            is_planned,
            unfinished_operation,
        )
        report.phases['decide'] = await curio.clock()
        is_done = await self._primary_changer.run(report)
        self._runtime.counters.count(
            'changes_done' if is_done else 'changes_failed'
        )
        if not is_done:
            return RETRY_DELAY_S
        self._reconcile_until = await curio.clock() + RECONCILE_DURATION_S
        return CHECK_INTERVAL_S

    def _rank(self, unresponsive: Container[str] = ()) -> int:
        """Return how many nodes other than unresponsive ones act earlier."""
        record = self._runtime.leadership_state.record
        names = {
            member.name
            for member in self._observer.list_observers()
            if member.name not in unresponsive
        }
        names.add(self._context.node)
        preferred = '' if record is None else record.driver
        released_by = '' if record is None else record.released_by
        ranked = sorted(
            names,
            key=lambda name: (
                name != preferred,
                name == released_by,
                compute_rendezvous_rank(self._runtime.name, name),
            ),
        )
        return ranked.index(self._context.node)
