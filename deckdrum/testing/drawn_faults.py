"""Primary changes under overlapping faults, played and checked."""

from collections.abc import Iterable, Sequence
from typing import Final

import curio

from deckdrum.standins.users import Connectivity, DatabaseServer
from deckdrum.testing.drawn_cases import DrawnCase
from deckdrum.testing.fault_actions import DrawnFault, FaultyChange
from deckdrum.testing.linked_nodes import LinkedDeployment
from deckdrum.testing.membership_actions import ACTIONS
from deckdrum.testing.replaced_primaries import (
    Reader,
    Writer,
    find_disordered_promotions,
    find_replaced_primary_writes,
)

_STEADY_TIME_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.005
#: Longest wait for the first promotion.
_PROMOTION_TIMEOUT_S: Final = 8.0
#: Time after the end of all faults in which writes must succeed again.
RECOVERY_TIME_S: Final = 16.0


class DrawnScenario:
    """Plays one case on a deployment.

    Parameters
    ----------
    deployment : LinkedDeployment
        Nodes and databases.
    case : DrawnCase
        The faults.
    """

    def __init__(self, deployment: LinkedDeployment, case: DrawnCase) -> None:
        self._deployment = deployment
        self._case = case
        self._change = FaultyChange(deployment, deployment.group.primary)

    async def play(self) -> list[str]:
        """Play the case; return what it violated."""
        deployment = self._deployment
        writers = [
            Writer(deployment, number) for number in self._list_writing_nodes()
        ]
        tasks = [
            await curio.spawn(writer.run, daemon=True) for writer in writers
        ]
        await curio.sleep(_STEADY_TIME_S)
        deployment.group.unanswered_promotions = self._case.unanswered
        deployment.group.promotion_time = self._case.promotion_time
        deployment.group.is_checking_fences = self._case.is_checking_fences
        readers = self._make_readers(writers)
        tasks += [
            await curio.spawn(reader.run, daemon=True) for reader in readers
        ]
        async with curio.TaskGroup() as playing:
            if self._case.is_checking_reads:
                await playing.spawn(self._apply, self._case.faults[0])
                await curio.sleep(self._case.lead)
            await self._lose_primary()
            await self._wait_for_promotion()
            for fault in self._case.faults[self._case.is_checking_reads :]:
                await playing.spawn(self._apply, fault)
        await self._restore_servers()
        recovered = await self._wait_for_writes(writers)
        for task in tasks:
            await task.cancel()
        stale = [line for reader in readers for line in reader.stale]
        return [*recovered, *stale, *self._find_violations(writers)]

    def _list_writing_nodes(self) -> list[int]:
        """Return the nodes with a writer.

        A write tells a node that a server is not the primary any more, so the
        node of the first fault has none if reads are checked.
        """
        numbers = list(range(self._case.nodes))
        if self._case.is_checking_reads:
            numbers.remove(self._change.pick_node(self._case.faults[0].target))
        return numbers

    def _make_readers(self, writers: Sequence[Writer]) -> list[Reader]:
        """Return a reader for each node if reads are checked."""
        if not self._case.is_checking_reads:
            return []
        return [
            Reader(self._deployment, number, writers)
            for number in range(self._case.nodes)
        ]

    async def _lose_primary(self) -> None:
        former = self._change.former
        if self._case.loss == 'crash':
            await former.crash()
        elif self._case.loss == 'draining':
            await former.drain()
        elif self._case.loss == 'cut off':
            former.connectivity = Connectivity.CUT_OFF
        else:
            former.connectivity = Connectivity.ONE_WAY

    async def _wait_for_promotion(self) -> None:
        group = self._deployment.group
        async with curio.ignore_after(_PROMOTION_TIMEOUT_S):
            while not group.promotions:
                await curio.sleep(_POLL_INTERVAL_S)

    async def _apply(self, fault: DrawnFault) -> None:
        await curio.sleep(fault.start)
        await ACTIONS[fault.kind](self._change, fault)

    async def _restore_servers(self) -> None:
        for server in self._deployment.group.servers.values():
            server.connectivity = Connectivity.OPEN
            if not server.is_running and not self._change.is_lost(server):
                await server.start()
            if server.is_running and server.state != 'ready':
                # One that drains for good would be replaced for good.
                server.state = 'ready'
                await server.publish()

    async def _wait_for_writes(self, writers: Iterable[Writer]) -> list[str]:
        """Wait until every node has acknowledged a write since now."""
        began = await curio.clock()
        waiting = list(writers)
        async with curio.ignore_after(RECOVERY_TIME_S):
            while waiting:
                await curio.sleep(_STEADY_TIME_S)
                waiting = [
                    each
                    for each in waiting
                    if max(each.acknowledged.values(), default=0) <= began
                ]
        return [
            f'no write through a node {RECOVERY_TIME_S} s after the faults'
            for _ in waiting
        ]

    def _find_violations(self, writers: Iterable[Writer]) -> list[str]:
        group = self._deployment.group
        acknowledged: dict[str, float] = {}
        for writer in writers:
            acknowledged |= writer.acknowledged
        return [
            *find_disordered_promotions(group.promotions),
            *find_replaced_primary_writes(group, acknowledged),
            *self._find_lost(acknowledged),
        ]

    def _find_lost(self, acknowledged: Iterable[str]) -> list[str]:
        """Return acknowledged writes that a synchronous group has lost."""
        if not self._case.synchronous_replicas:
            return []
        kept = {
            request_id
            for entry in self._find_latest_server().log
            for request_id, _ in entry.writes
        }
        return [
            f'{request_id} was acknowledged and is lost'
            for request_id in acknowledged
            if request_id not in kept
        ]

    def _find_latest_server(self) -> DatabaseServer:
        """Return the primary; during a change that which has most."""
        group = self._deployment.group
        if group.primary.is_running:
            return group.primary
        running = [each for each in group.servers.values() if each.is_running]
        return max(running, key=lambda each: (each.term, len(each.log)))
