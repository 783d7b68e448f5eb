"""Faults of a soak: each strikes, lasts, and is mended."""

import signal
from abc import ABC, abstractmethod
from typing import Final

import curio

from deckdrum.soak.links import LinkState
from deckdrum.soak.world import SoakEnvironment
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import build_config, build_route

#: Shortest and longest time that a fault lasts, in seconds: around the limits
#: of the product (proof 1.2 s, take-over 5 s).
MIN_FAULT_DURATION_S: Final = 0.2
MAX_FAULT_DURATION_S: Final = 4.0
#: Part of that time after which a stopped node, or all nodes, start again.
_AWAY_PART: Final = 1 / 4
#: Most answers that a database loses in a row.
_MOST_LOST: Final = 5
#: Most versions by which the operator's configuration grows at once.
_LONGEST_STEP: Final = 3
#: Delay of a slow link, in seconds.
_SLOW_DELAY: Final = 0.1
_STORE_FAULTS: Final = (
    StoreFault.BUSY,
    StoreFault.MANY,
    StoreFault.RESET,
    StoreFault.SILENT,
    StoreFault.ANSWERS_LOST,
)
_SIGNALS: Final = (signal.SIGHUP, signal.SIGTERM, signal.SIGKILL)


class Fault(ABC):
    """A kind of fault."""

    @abstractmethod
    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike, last for some seconds and mend; tell what was struck."""


class FrozenNode(Fault):
    """A node's process stands still."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike and mend."""
        node = world.pick_node()
        node.send_signal(signal.SIGSTOP)
        await curio.sleep(lasting)
        node.send_signal(signal.SIGCONT)
        return node.name


class KilledNode(Fault):
    """A node's process is killed, and started again."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike and mend."""
        node = world.pick_node()
        node.kill()
        await curio.sleep(lasting)
        node.start()
        return node.name


class StoppedNode(Fault):
    """A node gets one signal, is then asked to stop, and started again."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike and mend."""
        node = world.pick_node()
        number = world.randomness.choice(_SIGNALS)
        if number is signal.SIGHUP:
            node.reload()
        else:
            node.send_signal(number)
        await node.stop()
        await curio.sleep(lasting * _AWAY_PART)
        node.start()
        return node.name


class AllNodesReloaded(Fault):
    """Every node is told to read its settings again."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike."""
        for node in world.nodes:
            node.reload()
        return 'all'


class AllNodesKilled(Fault):
    """Every node is killed at once, and all start again."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike and mend."""
        for node in world.nodes:
            node.kill()
        await curio.sleep(lasting * _AWAY_PART)
        for node in world.nodes:
            node.start()
        return 'all'


class LinkFault(Fault):
    """The way to a database is slow, cut one way, silent or reset."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike and mend."""
        name = world.randomness.choice(sorted(world.links))
        link = world.links[name]
        link.delay = _SLOW_DELAY
        link.state = world.randomness.choice(tuple(LinkState))
        if link.state is LinkState.OPEN:
            await link.reset()
        state = link.state
        await curio.sleep(lasting)
        link.state = LinkState.OPEN
        return f'{name} {state}'


class DatabaseFault(Fault):
    """A database is dark, crashes, is full, or receives nothing."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike and mend."""
        server = world.reserve_server(lambda each: each.is_running)
        if server is None:
            return 'none free'
        kind = world.randomness.choice(('dark', 'crash', 'full', 'deaf'))
        server.is_dark = kind == 'dark'
        server.is_replication_blocked = kind == 'deaf'
        server.load.is_full = kind == 'full'
        if kind == 'crash':
            await server.crash()
        await curio.sleep(lasting)
        await world.restore_server(server)
        return f'{server.name} {kind}'


class DatabaseAnswersLost(Fault):
    """A database runs statements and their answers are lost."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike."""
        name = world.randomness.choice(sorted(world.group.servers))
        count = world.randomness.randint(1, _MOST_LOST)
        world.group.servers[name].lost_answers = count
        return name


class StoreFailure(Fault):
    """The store is away for everybody, or turns one node away."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike and mend."""
        fault = world.randomness.choice(_STORE_FAULTS)
        if world.randomness.choice((True, False)):
            node = world.pick_node()
            world.store.turned_away[node.name] = fault
            await curio.sleep(lasting)
            world.store.turned_away.pop(node.name, None)
            return f'{node.name} {fault}'
        world.store.fault = fault
        await curio.sleep(lasting)
        world.store.fault = StoreFault.NONE
        return f'all {fault}'


class StoreHistoryCompacted(Fault):
    """The store forgets its history."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike."""
        await world.store.compact_history()
        return 'store'


class ChangedConfiguration(Fault):
    """The operator adds a route."""

    async def strike(self, world: SoakEnvironment, lasting: float) -> str:
        """Strike."""
        world.version += world.randomness.randint(1, _LONGEST_STEP)
        config = build_config(world.version)
        config['routes'].append(build_route(f'db-{world.version}', 'primary'))
        await world.store.write('config', 'main', config)
        return f'version {world.version}'


#: What is drawn from; a kind that stands here more often strikes more often.
FAULTS: Final[tuple[Fault, ...]] = (
    FrozenNode(),
    KilledNode(),
    StoppedNode(),
    AllNodesReloaded(),
    AllNodesKilled(),
    LinkFault(),
    LinkFault(),
    DatabaseFault(),
    DatabaseFault(),
    DatabaseFault(),
    DatabaseAnswersLost(),
    StoreFailure(),
    StoreFailure(),
    StoreHistoryCompacted(),
    ChangedConfiguration(),
)
