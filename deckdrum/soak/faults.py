"""Faults of a soak test: each is injected, lasts a while and is cleared."""

import signal
from abc import ABC, abstractmethod
from typing import Final

import curio

from deckdrum.soak.environment import SoakEnvironment
from deckdrum.soak.links import LinkState
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import build_route

#: Faults end before or after a leadership proof expires (1.2 s), but before an
#: unfinished primary change is taken over (5 s).
MIN_FAULT_DURATION_S: Final = 0.2
MAX_FAULT_DURATION_S: Final = 4.0
#: Fraction of the duration after which stopped nodes are started again.
_RESTART_AFTER_FRACTION: Final = 1 / 4
_MAX_LOST_ANSWERS: Final = 5
_MAX_RESTARTS: Final = 4
#: Largest increment of the configuration version.
_MAX_VERSION_STEP: Final = 3
_SLOW_DELAY_S: Final = 0.1
STORE_FAULTS: Final = (
    StoreFault.BUSY,
    StoreFault.MANY,
    StoreFault.RESET,
    StoreFault.SILENT,
    StoreFault.ANSWERS_LOST,
)
_SIGNALS: Final = (signal.SIGHUP, signal.SIGTERM, signal.SIGKILL)


class Fault(ABC):
    """A kind of fault that can be injected."""

    @abstractmethod
    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject the fault, clear it after `duration`; return the target."""


class FrozenNode(Fault):
    """A node process is suspended and resumed."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        node = environment.pick_node()
        node.send_signal(signal.SIGSTOP)
        await curio.sleep(duration)
        node.send_signal(signal.SIGCONT)
        return node.name


class KilledNode(Fault):
    """A node process is killed and started again."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        node = environment.pick_node()
        node.kill()
        await curio.sleep(duration)
        node.start()
        return node.name


class StoppedNode(Fault):
    """A node gets a random signal, then SIGTERM, and is started again."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        node = environment.pick_node()
        number = environment.randomness.choice(_SIGNALS)
        if number is signal.SIGHUP:
            node.reload()
        else:
            node.send_signal(number)
        await node.stop()
        await curio.sleep(duration * _RESTART_AFTER_FRACTION)
        node.start()
        return node.name


class RestartedNode(Fault):
    """A node is killed or terminated several times in a row."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        node = environment.pick_node()
        count = environment.randomness.randint(2, _MAX_RESTARTS)
        for _ in range(count):
            if environment.randomness.choice((True, False)):
                node.kill()
            else:
                await node.stop()
            node.start()
            await curio.sleep(duration / count)
        return f'{node.name} {count} times'


class AllNodesReloaded(Fault):
    """Every node is told to reload its settings."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject the fault."""
        for node in environment.nodes:
            node.reload()
        return 'all'


class AllNodesKilled(Fault):
    """All nodes are killed at once and started again."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        for node in environment.nodes:
            node.kill()
        await curio.sleep(duration * _RESTART_AFTER_FRACTION)
        for node in environment.nodes:
            node.start()
        return 'all'


class LinkFault(Fault):
    """The link to a database is slow, blocked or reset."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        name = environment.randomness.choice(sorted(environment.links))
        link = environment.links[name]
        link.delay = _SLOW_DELAY_S
        link.state = environment.randomness.choice(tuple(LinkState))
        if link.state is LinkState.OPEN:
            await link.reset()
        state = link.state
        await curio.sleep(duration)
        link.state = LinkState.OPEN
        return f'{name} {state}'


class DatabaseFault(Fault):
    """A database hangs, crashes, rejects statements or stops replicating."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        server = environment.reserve_server(lambda each: each.is_running)
        if server is None:
            return 'none free'
        kind = environment.randomness.choice(
            ('unresponsive', 'crash', 'full', 'replication blocked')
        )
        server.is_unresponsive = kind == 'unresponsive'
        server.is_replication_blocked = kind == 'replication blocked'
        server.load.is_full = kind == 'full'
        if kind == 'crash':
            await server.crash()
        await curio.sleep(duration)
        await environment.restore_server(server)
        return f'{server.name} {kind}'


class DatabaseAnswersLost(Fault):
    """A database executes statements without answering them."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject the fault."""
        name = environment.randomness.choice(sorted(environment.group.servers))
        count = environment.randomness.randint(1, _MAX_LOST_ANSWERS)
        environment.group.servers[name].lost_answers = count
        return name


class StoreFailure(Fault):
    """The store fails for all nodes or for one."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        fault = environment.randomness.choice(STORE_FAULTS)
        if environment.randomness.choice((True, False)):
            node = environment.pick_node()
            environment.store.turned_away[node.name] = fault
            await curio.sleep(duration)
            environment.store.turned_away.pop(node.name, None)
            return f'{node.name} {fault}'
        environment.store.fault = fault
        await curio.sleep(duration)
        environment.store.fault = StoreFault.NONE
        return f'all {fault}'


class StoreHistoryCompacted(Fault):
    """The store discards its history of changes."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject the fault."""
        await environment.store.compact_history()
        return 'store'


class ChangedConfiguration(Fault):
    """The operator adds a route to the configuration."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject the fault."""
        environment.version += environment.randomness.randint(
            1, _MAX_VERSION_STEP
        )
        config = environment.build_config()
        config['routes'].append(
            build_route(f'db-{environment.version}', 'primary')
        )
        await environment.store.write('config', 'main', config)
        return f'version {environment.version}'


#: Drawn with equal probability per entry; repeated kinds are more frequent.
FAULTS: Final[tuple[Fault, ...]] = (
    FrozenNode(),
    KilledNode(),
    StoppedNode(),
    RestartedNode(),
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
