"""Faults that tests inject into a primary change, one function each."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.standins.users import (
    Connectivity,
    DatabaseGroup,
    DatabaseServer,
    StoreFault,
)
from deckdrum.testing.linked_nodes import LinkedDeployment
from deckdrum.testing.links import CutKind

#: One of so many nodes that refuse connections keeps the store.
_STORE_PERIOD: Final = 3
#: One of so many servers that are lost stays listed.
_LISTED_PERIOD: Final = 3
_UNLISTED_AFTER_S: Final = 3.6
_TAKEOVER_TIMEOUT_S: Final = 8.0
_POLL_INTERVAL_S: Final = 0.005
_PLATFORM_DELAYS_S: Final = (0.4, 0.8, 2.0, 4.0)
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
    _lost_servers: set[str] = field(default_factory=set)

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

    def is_lost(self, server: DatabaseServer) -> bool:
        """Return whether a server is lost for good."""
        return server.name in self._lost_servers

    async def lose_server(self, server: DatabaseServer) -> None:
        """Stop a server for good."""
        self._lost_servers.add(server.name)
        await server.crash()

    async def replace_node(self, number: int, duration: float) -> bool:
        """Kill a node, and start it again under its name.

        Returns whether it was done: another fault may have stopped the node.
        """
        if number in self._stopped_nodes:
            return False
        self._stopped_nodes.add(number)
        await self.deployment.kill_node(number)
        await curio.sleep(duration)
        await self.deployment.restart_node(number)
        self._stopped_nodes.discard(number)
        return True


async def cut_driver(change: FaultyChange, fault: DrawnFault) -> None:
    """Cut the driver from the server that it has ordered."""
    await _cut_link(change, fault, change.driver, change.successor)


async def cut_server(change: FaultyChange, fault: DrawnFault) -> None:
    """Cut a node from a server."""
    number = change.pick_node(fault.target)
    await _cut_link(change, fault, number, change.pick_server(fault.target))


async def _cut_link(
    change: FaultyChange,
    fault: DrawnFault,
    number: int,
    server: DatabaseServer,
) -> None:
    await change.deployment.cut_link(number, server.name)
    await curio.sleep(fault.duration)
    await change.deployment.heal_link(number, server.name)


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


async def refuse_node(change: FaultyChange, fault: DrawnFault) -> None:
    """Let a node and all others refuse each other; it runs on.

    It may lose the store too, so that it learns of a change from servers only.
    """
    number = change.pick_node(fault.target)
    kind = (CutKind.RESET, CutKind.REFUSE)[fault.target % 2]
    cut_off = change.deployment.store.cut_off
    if fault.target % _STORE_PERIOD:
        cut_off.add(f'n{number}')
    await change.deployment.isolate_node(number, kind)
    await curio.sleep(fault.duration)
    cut_off.discard(f'n{number}')
    for other, _ in enumerate(change.deployment.nodes):
        if other != number:
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
    if not change.is_lost(server):
        await server.start()


async def lose_successor(change: FaultyChange, fault: DrawnFault) -> None:
    """Lose the first successor for good once it has led for some time.

    Its entry goes later, or not at all, and no node may see it lead.
    """
    deployment = change.deployment
    if not await _wait_for_takeover(deployment.group):
        return
    server = change.successor
    if fault.target % 2:
        for number, _ in enumerate(deployment.nodes):
            await deployment.cut_link(number, server.name)
    await curio.sleep(fault.duration)
    await change.lose_server(server)
    await curio.sleep(_UNLISTED_AFTER_S)
    if fault.target % _LISTED_PERIOD:
        await deployment.store.delete('servers', server.name)


async def _wait_for_takeover(group: DatabaseGroup) -> bool:
    async with curio.ignore_after(_TAKEOVER_TIMEOUT_S):
        while not group.takeovers:
            await curio.sleep(_POLL_INTERVAL_S)
    return bool(group.takeovers)


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


Action = Callable[[FaultyChange, DrawnFault], Awaitable[None]]
#: Actions that are drawn for every case.
DRAWN_ACTIONS: Final[Mapping[str, Action]] = MappingProxyType(
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
