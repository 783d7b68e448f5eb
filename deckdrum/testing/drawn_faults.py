"""Primary changes under overlapping faults that are drawn with a seed."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.standins.users import Connectivity, DatabaseServer, StoreFault
from deckdrum.testing.linked_nodes import LinkedDeployment
from deckdrum.testing.replaced_primaries import (
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
_PLATFORM_DELAYS_S: Final = (0.4, 0.8, 2.0, 4.0)
_PROMOTION_TIMES_S: Final = (0.1, 0.3, 0.3, 0.6, 1.0)
_SLOW_STORE_DELAYS_S: Final = (0.25, 1.0)
_STORE_FAULTS: Final = tuple(
    each for each in StoreFault if each is not StoreFault.NONE
)


@dataclass(frozen=True, slots=True)
class DrawnFault:
    """A fault with its start after the first promotion call, in seconds.

    `target` selects a node, a server or a kind, modulo their number.
    """

    kind: str
    start: float
    duration: float
    target: int


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
    """

    nodes: int
    synchronous_replicas: int
    loss: str
    unanswered: int
    promotion_time: float
    is_checking_fences: bool
    faults: tuple[DrawnFault, ...]


@dataclass(slots=True)
class FaultyChange:
    """A deployment under drawn faults, and what they concern.

    Attributes
    ----------
    deployment : LinkedDeployment
        Nodes and databases.
    former : DatabaseServer
        Primary that is lost.
    """

    deployment: LinkedDeployment
    former: DatabaseServer
    _stopped_nodes: set[int] = field(default_factory=set)

    @property
    def driver(self) -> int:
        """Number of the node that made the latest promotion call."""
        promotions = self.deployment.group.promotions
        return int(promotions[-1][1].removeprefix('n')) if promotions else 0

    @property
    def successor(self) -> DatabaseServer:
        """Server of the latest promotion call."""
        group = self.deployment.group
        if not group.promotions:
            return group.primary
        return group.servers[group.promotions[-1][0]]

    def pick_node(self, target: int) -> int:
        """Return the number of a node."""
        return target % len(self.deployment.nodes)

    def pick_server(self, target: int) -> DatabaseServer:
        """Return a server."""
        servers = list(self.deployment.group.servers.values())
        return servers[target % len(servers)]

    async def replace_node(self, number: int, duration: float) -> None:
        """Kill a node, and start it again under its name."""
        if number in self._stopped_nodes:
            return
        self._stopped_nodes.add(number)
        await self.deployment.kill_node(number)
        await curio.sleep(duration)
        await self.deployment.restart_node(number)
        self._stopped_nodes.discard(number)


async def cut_driver(change: FaultyChange, fault: DrawnFault) -> None:
    """Cut the driver from the server that it has ordered."""
    number, server = change.driver, change.successor.name
    await change.deployment.cut_link(number, server)
    await curio.sleep(fault.duration)
    await change.deployment.heal_link(number, server)


async def cut_server(change: FaultyChange, fault: DrawnFault) -> None:
    """Cut a node from a server."""
    number = change.pick_node(fault.target)
    server = change.pick_server(fault.target).name
    await change.deployment.cut_link(number, server)
    await curio.sleep(fault.duration)
    await change.deployment.heal_link(number, server)


async def cut_successor(change: FaultyChange, fault: DrawnFault) -> None:
    """Cut all nodes but one from the ordered server."""
    server = change.successor.name
    connected = change.pick_node(fault.target)
    numbers = [
        number
        for number in range(len(change.deployment.nodes))
        if number != connected
    ]
    for number in numbers:
        await change.deployment.cut_link(number, server)
    await curio.sleep(fault.duration)
    for each in numbers:
        await change.deployment.heal_link(each, server)


async def cut_nodes(change: FaultyChange, fault: DrawnFault) -> None:
    """Cut two nodes from each other."""
    count = len(change.deployment.nodes)
    number = change.pick_node(fault.target)
    other = (number + 1 + fault.target % (count - 1)) % count
    await change.deployment.cut_node_link(number, other)
    await curio.sleep(fault.duration)
    await change.deployment.heal_node_link(number, other)


async def isolate_driver(change: FaultyChange, fault: DrawnFault) -> None:
    """Cut the driver from all other nodes."""
    driver = change.driver
    others = [
        number
        for number in range(len(change.deployment.nodes))
        if number != driver
    ]
    for number in others:
        await change.deployment.cut_node_link(driver, number)
    await curio.sleep(fault.duration)
    for each in others:
        await change.deployment.heal_node_link(driver, each)


async def break_store(change: FaultyChange, fault: DrawnFault) -> None:
    """Make the store fail for all nodes."""
    store = change.deployment.store
    store.fault = _STORE_FAULTS[fault.target % len(_STORE_FAULTS)]
    await curio.sleep(fault.duration)
    store.fault = StoreFault.NONE


async def slow_store(change: FaultyChange, fault: DrawnFault) -> None:
    """Make the store answer late."""
    store = change.deployment.store
    usual = store.delay
    store.delay = _SLOW_STORE_DELAYS_S[fault.target % 2]
    await curio.sleep(fault.duration)
    store.delay = min(store.delay, usual)


async def turn_nodes_away(change: FaultyChange, fault: DrawnFault) -> None:
    """Make the store fail for some nodes."""
    store = change.deployment.store
    randomness = Random(fault.target)
    names = [running.node.settings.name for running in change.deployment.nodes]
    chosen = randomness.sample(names, randomness.randint(1, len(names)))
    for name in chosen:
        store.turned_away[name] = randomness.choice(_STORE_FAULTS)
    await curio.sleep(fault.duration)
    for each in chosen:
        store.turned_away.pop(each, None)


async def kill_driver(change: FaultyChange, fault: DrawnFault) -> None:
    """Kill the driver, and start it again."""
    await change.replace_node(change.driver, fault.duration)


async def kill_node(change: FaultyChange, fault: DrawnFault) -> None:
    """Kill a node, and start it again."""
    await change.replace_node(change.pick_node(fault.target), fault.duration)


async def crash_successor(change: FaultyChange, fault: DrawnFault) -> None:
    """Crash the ordered server, and start it again."""
    server = change.successor
    if not server.is_running:
        return
    await server.crash()
    await curio.sleep(fault.duration)
    await server.start()


async def hang_successor(change: FaultyChange, fault: DrawnFault) -> None:
    """Let the ordered server answer nothing for some time."""
    server = change.successor
    server.connectivity = Connectivity.CUT_OFF
    await curio.sleep(fault.duration)
    server.connectivity = Connectivity.OPEN


async def return_former(change: FaultyChange, _: DrawnFault) -> None:
    """Let the former primary answer again."""
    change.former.connectivity = Connectivity.OPEN
    if not change.former.is_running:
        await change.former.start()


async def slow_platform(change: FaultyChange, fault: DrawnFault) -> None:
    """Make the platform handle promotion calls late."""
    group = change.deployment.group
    group.promotion_delay = _PLATFORM_DELAYS_S[
        fault.target % len(_PLATFORM_DELAYS_S)
    ]
    await curio.sleep(fault.duration)
    group.promotion_delay = 0


async def lose_answer(change: FaultyChange, _: DrawnFault) -> None:
    """Lose the answer to the next promotion call."""
    change.deployment.group.unanswered_promotions += 1


_Action = Callable[[FaultyChange, DrawnFault], Awaitable[None]]
_ACTIONS: Final[Mapping[str, _Action]] = MappingProxyType(
    {
        'cut driver': cut_driver,
        'cut server': cut_server,
        'cut successor': cut_successor,
        'cut nodes': cut_nodes,
        'isolate driver': isolate_driver,
        'break store': break_store,
        'slow store': slow_store,
        'turn away': turn_nodes_away,
        'kill driver': kill_driver,
        'kill node': kill_node,
        'crash successor': crash_successor,
        'hang successor': hang_successor,
        'return former': return_former,
        'lose answer': lose_answer,
        'slow platform': slow_platform,
    },
)
_LOSSES: Final = ('crash', 'silent', 'cut off', 'draining')


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


def _draw_fault(randomness: Random) -> DrawnFault:
    is_early = randomness.random() < _EARLY_FRACTION
    late = randomness.choice(_MAX_STARTS_S)
    return DrawnFault(
        randomness.choice(tuple(_ACTIONS)),
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
            Writer(deployment, number) for number in range(self._case.nodes)
        ]
        tasks = [
            await curio.spawn(writer.run, daemon=True) for writer in writers
        ]
        await curio.sleep(_STEADY_TIME_S)
        deployment.group.unanswered_promotions = self._case.unanswered
        deployment.group.promotion_time = self._case.promotion_time
        deployment.group.is_checking_fences = self._case.is_checking_fences
        await self._lose_primary()
        await self._wait_for_promotion()
        async with curio.TaskGroup() as playing:
            for fault in self._case.faults:
                await playing.spawn(self._apply, fault)
        await self._restore_servers()
        recovered = await self._wait_for_writes(writers)
        for task in tasks:
            await task.cancel()
        return [*recovered, *self._find_violations(writers)]

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
        await _ACTIONS[fault.kind](self._change, fault)

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
