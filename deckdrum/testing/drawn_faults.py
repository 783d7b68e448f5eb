"""Primary changes under overlapping faults that are drawn with a seed."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

import curio

from deckdrum.standins.users import Connectivity
from deckdrum.testing.fault_actions import (
    ACTIONS,
    REFUSING_FAULT,
    DrawnFault,
    FaultyChange,
    refuse_node,
)
from deckdrum.testing.linked_nodes import LinkedDeployment
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
#: Latest start of a fault after the first promotion call: before the driver
#: gives up, or after another node has taken over.
_MAX_STARTS_S: Final = (3.0, 9.0)
_MAX_DURATIONS_S: Final = (1.0, 5.0, 9.0)
_MIN_DURATION_S: Final = 0.1
#: Fraction of faults that start before the first promotion takes effect.
_EARLY_FRACTION: Final = 0.6
_MAX_EARLY_START_S: Final = 0.4
_MAX_TARGET: Final = 1000
_FAULT_COUNTS: Final = (1, 2, 2, 3, 3, 4, 5)
#: Time after the end of all faults in which writes must succeed again.
RECOVERY_TIME_S: Final = 16.0
_PROMOTION_TIMES_S: Final = (0.1, 0.3, 0.3, 0.6, 1.0)
_LOSSES: Final = ('crash', 'silent', 'cut off', 'draining')


@dataclass(frozen=True, slots=True)
class DrawnCase:
    """Faults of one primary change.

    Attributes
    ----------
    nodes : int
        Number of nodes.
    synchronous_replicas : int
        Synchronous replicas of the group.
    loss : str
        How the primary is lost: ``crash``, ``silent``, ``cut off`` or
        ``draining``.
    unanswered : int
        Number of promotion calls that take effect without an answer.
    promotion_time : float
        Time from a promotion call to its effect, in seconds.
    is_checking_fences : bool
        Whether the platform refuses lower fencing tokens.
    faults : tuple of DrawnFault
        The faults, by start.
    is_refusing : bool
        Whether nodes refuse connections while they run, and reads are
        checked.
    """

    nodes: int
    synchronous_replicas: int
    loss: str
    unanswered: int
    promotion_time: float
    is_checking_fences: bool
    faults: tuple[DrawnFault, ...]
    is_refusing: bool = False


def draw_case(seed: int) -> DrawnCase:
    """Return the case of a seed."""
    randomness = Random(seed)
    faults = [
        _draw_fault(randomness) for _ in range(randomness.choice(_FAULT_COUNTS))
    ]
    return DrawnCase(
        nodes=randomness.choice((3, 5)),
        synchronous_replicas=randomness.choice((0, 1)),
        loss=randomness.choice(_LOSSES),
        unanswered=randomness.choice((0, 0, 0, 1, 2)),
        promotion_time=randomness.choice(_PROMOTION_TIMES_S),
        is_checking_fences=randomness.choice((False, True)),
        faults=tuple(sorted(faults, key=lambda each: each.start)),
    )


def draw_refusing_case(seed: int) -> DrawnCase:
    """Return a planned change while nodes that run refuse connections.

    The first cut is there before the primary drains.  Nothing else fails, so
    that no acknowledged write is rolled back.
    """
    randomness = Random(f'refusing/{seed}')
    cuts = [
        replace(_draw_fault(randomness), kind=REFUSING_FAULT)
        for _ in range(randomness.choice(_FAULT_COUNTS))
    ]
    return DrawnCase(
        nodes=randomness.choice((3, 5)),
        synchronous_replicas=0,
        loss='draining',
        unanswered=0,
        promotion_time=randomness.choice(_PROMOTION_TIMES_S),
        is_checking_fences=randomness.choice((False, True)),
        faults=(replace(cuts[0], start=0), *cuts[1:]),
        is_refusing=True,
    )


def _draw_fault(randomness: Random) -> DrawnFault:
    is_early = randomness.random() < _EARLY_FRACTION
    late = randomness.choice(_MAX_STARTS_S)
    return DrawnFault(
        randomness.choice(tuple(ACTIONS)),
        randomness.uniform(0, _MAX_EARLY_START_S if is_early else late),
        randomness.uniform(
            _MIN_DURATION_S, randomness.choice(_MAX_DURATIONS_S)
        ),
        randomness.randrange(_MAX_TARGET),
    )


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
            if self._case.is_refusing:
                # The first cut is there before the primary is lost.
                await playing.spawn(self._apply, self._case.faults[0])
            await self._lose_primary()
            await self._wait_for_promotion()
            for fault in self._case.faults[self._case.is_refusing :]:
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
        first node that is cut off in a refusing case has none.
        """
        numbers = list(range(self._case.nodes))
        if self._case.is_refusing:
            numbers.remove(self._change.pick_node(self._case.faults[0].target))
        return numbers

    def _make_readers(self, writers: Sequence[Writer]) -> list[Reader]:
        """Return a reader for each node if reads are checked."""
        if not self._case.is_refusing:
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
        action = ACTIONS.get(fault.kind, refuse_node)
        await action(self._change, fault)

    async def _restore_servers(self) -> None:
        for server in self._deployment.group.servers.values():
            server.connectivity = Connectivity.OPEN
            if not server.is_running:
                await server.start()

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
            for entry in self._deployment.group.primary.log
            for request_id, _ in entry.writes
        }
        return [
            f'{request_id} was acknowledged and is lost'
            for request_id in acknowledged
            if request_id not in kept
        ]
