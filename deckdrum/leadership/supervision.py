"""Noticing that a group needs another primary, and whose task that is.

Every node watches what its own traffic shows.  A node that finds the primary
lost asks the other nodes before it acts; ranks by name make one act first.
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
from deckdrum.leadership.promotion import PrimaryChanger
from deckdrum.leadership.record_store import (
    CLAIM_TAKEOVER_DELAY_S,
    LeadershipRecordStore,
)
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.service import ServiceRuntime
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.utils.ranks import weigh

#: Pause between two looks without trouble, in seconds.
LOOK_PAUSE: Final = 0.1
#: Longest wait for the answer to the question after a silence, in seconds.
#: A loaded server answers late; both together must be longer than its queue.
STATUS_PROBE_TIMEOUT_S: Final = 0.3
#: Longest wait for a connection that tells a cut link from a loaded server, in
#: seconds; several round trips.
CONNECT_PROBE_TIMEOUT_S: Final = 0.2
#: Nodes that ask every other one at the first sign of a loss; the others ask
#: a few, so that the questions do not grow with the square of the nodes.
FULL_PROBE_RANKS: Final = 2
#: Users of a group up to which each asks all the others: fifteen are three for
#: each of five data centres.
MOST_ASKED: Final = 24
#: Pause of a node before it acts, by its rank, in seconds: longer than the
#: first node needs to ask its peers and claim the change.
RANK_DELAY_S: Final = 0.25
#: The same for a change that is no emergency.
PLANNED_RANK_DELAY_S: Final = 0.8
#: Nodes asked for a detour at a time.
PROBE_SAMPLE_SIZE: Final = 6
#: How long a detour is taken before the straight way is tried, in seconds.
DETOUR_RETRY_INTERVAL_S: Final = 1.0
#: Pause after a change that failed or that the peers refused, in seconds.
RETRY_DELAY_S: Final = 0.4
#: Pause between two tries to record who leads, in seconds.
RECORD_RETRY_INTERVAL_S: Final = 1.0
#: How long a group may be without a known primary before it is given one.
NO_PRIMARY_TIMEOUT_S: Final = 1.0
#: How long a node has been registered before it changes a primary, in s.  A
#: node that has just started does not know the others yet and would act alone.
MEMBERSHIP_SETTLE_TIME_S: Final = 1.0
#: How long after a change the servers are looked after, in seconds.
RECONCILE_DURATION_S: Final = 6.0
RECONCILE_INTERVAL_S: Final = 0.5


class Supervisor:
    """Watches one group's primary.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    tools : ChangeTools
        What the node provides.
    """

    def __init__(
        self, runtime: ServiceRuntime, tools: LeadershipContext
    ) -> None:
        self._runtime = runtime
        self._tools = tools
        self._promotion = PrimaryChanger(runtime, tools)
        self._claims = LeadershipRecordStore(runtime, tools)
        self._record_after = float('-inf')
        self._without_since: float | None = None
        self._claim_seen: tuple[str, float] = ('', 0)
        self._mend_until = float('-inf')
        self._troubled: ServerHandle | None = None
        self._detour_until = float('-inf')
        self._registered_since: float | None = None
        #: Nodes that did not answer when they were last asked.
        self._silent_users: frozenset[str] = frozenset()

    def handle_server_failure(self, handle: ServerHandle) -> None:
        """Look at a server that has just failed, if it is the primary."""
        if handle.id == self._runtime.leadership_state.primary:
            self._troubled = handle

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            await curio.sleep(await self._look())

    async def _look(self) -> float:
        """Look once; return the pause before the next look."""
        is_idle = self._runtime.is_changing_primary or not self._runtime.servers
        if is_idle or not await self._is_settled():
            return LOOK_PAUSE
        record = self._runtime.leadership_state.record
        if record is not None and record.phase is Phase.FENCING:
            return await self._look_at_claim(record)
        if not self._runtime.holding.is_holder:
            # Those who use the servers see what becomes of them.
            self._without_since = None
            return LOOK_PAUSE
        primary = self._runtime.primary
        if primary is None:
            return await self._look_without()
        self._without_since = None
        if record is None:
            await self._record_first()
        if primary.server.is_draining:
            return await self._replace_leaving(primary)
        if self._troubled is primary:
            self._troubled = None
            return await self._look_at_trouble(primary)
        if primary.id in self._tools.dialer.detours:
            return await self._look_at_detour(primary)
        return await self._mend_lately()

    async def _mend_lately(self) -> float:
        """Look after the servers for a while after a change."""
        if await curio.clock() >= self._mend_until:
            return LOOK_PAUSE
        await self._promotion.mend()
        return RECONCILE_INTERVAL_S

    async def _is_settled(self) -> bool:
        """Tell whether this node has had time to learn of the others."""
        now: float = await curio.clock()
        if self._tools.view.get_member(self._tools.node) is None:
            self._registered_since = None
            return False
        if self._registered_since is None:
            self._registered_since = now
        return now - self._registered_since >= MEMBERSHIP_SETTLE_TIME_S

    async def _record_first(self) -> None:
        """Record who leads, if the store is known to have no record."""
        now = await curio.clock()
        is_listed = Kind.LEADERSHIP in self._tools.view.listed_at
        if not is_listed or now < self._record_after:
            return
        self._record_after = now + RECORD_RETRY_INTERVAL_S
        if self._rank() == 0:
            # Beside the looks: the store may be away.
            await curio.spawn(self._claims.create_initial, daemon=True)

    async def _look_at_claim(self, record: GroupRecord) -> float:
        """Finish a change whose driver has not, or take it over."""
        now = await curio.clock()
        if self._claim_seen[0] != record.operation:
            self._claim_seen = (record.operation, now)
        wait = CLAIM_TAKEOVER_DELAY_S + self._rank() * RANK_DELAY_S
        if record.driver == self._tools.node:
            wait = 0
        if now - self._claim_seen[1] < wait:
            return LOOK_PAUSE
        await self._runtime.discover_primary()
        if self._claims.is_completed(record):
            await self._claims.settle_completed(record)
            return RETRY_DELAY_S
        return await self._change(
            record.former,
            'a change was left undone',
            is_takeover=True,
        )

    async def _look_without(self) -> float:
        """Look for a primary; have one made if there is none for long."""
        now = await curio.clock()
        if self._without_since is None:
            self._without_since = now
        await self._runtime.discover_primary()
        if self._runtime.primary is not None:
            return LOOK_PAUSE
        wait = NO_PRIMARY_TIMEOUT_S + self._rank() * RANK_DELAY_S
        if now - self._without_since < wait:
            return LOOK_PAUSE
        record = self._runtime.leadership_state.record
        recorded = '' if record is None else record.primary
        former = self._runtime.leadership_state.primary or recorded
        if await self._is_led_elsewhere(former):
            return RETRY_DELAY_S
        return await self._change(former, 'no server says that it leads')

    async def _replace_leaving(self, primary: ServerHandle) -> float:
        if not any(
            not handle.server.is_draining for handle in self._runtime.replicas
        ):
            return RETRY_DELAY_S
        rank = self._rank()
        if rank:
            await curio.sleep(rank * PLANNED_RANK_DELAY_S)
            if self._runtime.primary is not primary:
                return 0
        status = await self._runtime.ask(primary)
        # Once it may end at any moment, nothing is worth waiting for.
        has_time = not primary.departure.may_terminate(await curio.clock())
        is_planned = status is not None and has_time
        reason = 'the primary is to leave'
        return await self._change(primary.id, reason, is_planned=is_planned)

    async def _look_at_trouble(self, primary: ServerHandle) -> float:
        """Make sure that the primary is lost, and have it replaced."""
        if await self._answers(primary):
            return LOOK_PAUSE
        users = len(self._list_users())
        is_first = self._rank() < FULL_PROBE_RANKS
        everybody = is_first or users <= MOST_ASKED
        if await self._is_reached(primary, everybody=everybody):
            return LOOK_PAUSE
        # Who did not answer does not act before this node either.
        rank = self._rank(self._silent_users)
        if rank:
            await curio.sleep(rank * RANK_DELAY_S)
            if self._runtime.primary is not primary:
                return 0
            if await self._answers(primary):
                return LOOK_PAUSE
            if await self._is_reached(primary, everybody=True):
                return LOOK_PAUSE
        return await self._change(primary.id, 'the primary does not answer')

    async def _answers(self, primary: ServerHandle) -> bool:
        """Tell whether a server answers this node anything at all."""
        asked_at = await curio.clock()
        status = await primary.query_status(STATUS_PROBE_TIMEOUT_S)
        return status is not None or primary.has_answered(asked_at)

    async def _is_reached(
        self,
        primary: ServerHandle,
        *,
        everybody: bool,
    ) -> bool:
        """Tell whether other nodes reach a primary; it is not changed then.

        If this node alone is cut off from it, a detour is taken.
        """
        self._tools.dialer.detours.pop(primary.id, None)
        question = AskServer(self._runtime.name, primary.id)
        peers = self._tools.peers
        asked = self._list_users()
        if not everybody:
            count = min(PROBE_SAMPLE_SIZE, len(asked))
            asked = self._tools.randomness.sample(asked, count)
        # Meanwhile, so that a detour is not found too late for what waits.
        asking = await curio.spawn(peers.ask_each, asked, question)
        has_path = await self._has_path(primary)
        primary.is_dark = not has_path
        answers = await asking.join()
        self._silent_users = frozenset(
            name
            for name, answer in answers.items()
            if not isinstance(answer, ServerAnswer)
        )
        members = self._tools.view.members
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
            # It is loaded: another way would only load it more.
            self._runtime.journal.record_often(
                'primary.slow',
                service=self._runtime.name,
                server=primary.id,
                reached_by=reaching[0].name,
            )
            return True
        if Policy.DETOURS in self._tools.policies:
            member = self._tools.randomness.choice(reaching)
            await self._take_detour(primary, member)
        return True

    async def _has_path(self, primary: ServerHandle) -> bool:
        """Tell whether a server's machine takes connections of this node."""
        try:
            stream = await self._tools.dialer.dial_direct(
                primary.server.address,
                CONNECT_PROBE_TIMEOUT_S,
            )
        except ConnectionError:
            return False
        await stream.close()
        return True

    async def _take_detour(
        self,
        primary: ServerHandle,
        member: Member,
    ) -> None:
        """Reach a primary through a node that is not cut off from it."""
        self._tools.dialer.detours[primary.id] = member.endpoint
        self._detour_until = await curio.clock() + DETOUR_RETRY_INTERVAL_S
        primary.is_dark = False
        # The connections of before hang as long as the cut lasts.
        await primary.pool.close_idle()
        self._runtime.journal.record(
            'detour.taken',
            service=self._runtime.name,
            server=primary.id,
            through=member.name,
        )
        self._runtime.counters.count('detours_taken')

    async def _look_at_detour(self, primary: ServerHandle) -> float:
        """Go straight again as soon as the server can be reached."""
        now = await curio.clock()
        if now < self._detour_until:
            return LOOK_PAUSE
        self._detour_until = now + DETOUR_RETRY_INTERVAL_S
        if not await self._has_path(primary):
            return LOOK_PAUSE
        self._tools.dialer.detours.pop(primary.id, None)
        await primary.pool.close_idle()
        self._runtime.journal.record(
            'detour.ended',
            service=self._runtime.name,
            server=primary.id,
        )
        return LOOK_PAUSE

    async def _is_led_elsewhere(self, former: str) -> bool:
        """Tell whether another node reaches a primary."""
        question = AskServer(self._runtime.name, former)
        answers = await self._tools.peers.ask_each(
            self._list_users(),
            question,
        )
        reaching = [
            name
            for name, answer in answers.items()
            if isinstance(answer, ServerAnswer) and answer.reached
        ]
        if reaching:
            self._runtime.journal.record(
                'leadership.change_vetoed',
                service=self._runtime.name,
                primary=former,
                reached_by=reaching[:8],
            )
        return bool(reaching)

    async def _change(
        self,
        former: str,
        reason: str,
        *,
        is_planned: bool = False,
        is_takeover: bool = False,
    ) -> float:
        report = PrimaryChangeReport(
            self._runtime.name,
            former,
            reason,
            is_planned,
            is_takeover,
        )
        report.phases['decide'] = await curio.clock()
        is_done = await self._promotion.drive(report)
        self._runtime.counters.count(
            'changes_done' if is_done else 'changes_failed'
        )
        if not is_done:
            return RETRY_DELAY_S
        self._mend_until = await curio.clock() + RECONCILE_DURATION_S
        return LOOK_PAUSE

    def _list_users(self) -> list[Member]:
        """Return the other nodes that use the group's servers themselves."""
        return self._runtime.holding.others or self._tools.peers.others

    def _rank(self, silent: Container[str] = ()) -> int:
        """Return how many nodes act before this one, but for silent ones."""
        record = self._runtime.leadership_state.record
        names = {
            member.name
            for member in self._list_users()
            if member.name not in silent
        }
        names.add(self._tools.node)
        preferred = '' if record is None else record.driver
        ranked = sorted(
            names,
            key=lambda name: (
                name != preferred,
                weigh(self._runtime.name, name),
            ),
        )
        return ranked.index(self._tools.node)
