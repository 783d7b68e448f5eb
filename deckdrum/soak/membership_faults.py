"""Faults of a soak test that concern which nodes and servers take part."""

from typing import Final

import curio

from deckdrum.soak.environment import SoakEnvironment
from deckdrum.soak.faults import STORE_FAULTS, Fault
from deckdrum.soak.partition_faults import pick_nodes, replace_primary
from deckdrum.soak.partitions import Block
from deckdrum.soak.processes import NodeProcess
from deckdrum.standins.users import DatabaseServer
from deckdrum.testing.blocked_links import BOTH_DIRECTIONS

_MEMBERS: Final = 'deckdrum-members'
#: Most nodes that join during one soak test.
MAX_ADDED_NODES: Final = 2
#: Added to the duration: a process needs about half a second to start.
_EXTRA_DURATION_S: Final = 1.0
#: Longest wait for the takeover that follows the failure of a primary.
_TAKEOVER_TIMEOUT_S: Final = 8.0
#: Longest time for which a successor that is lost for good leads.
_MAX_LED_S: Final = 0.6
_POLL_INTERVAL_S: Final = 0.01


class NodeAdded(Fault):
    """A node joins that the store turns away; the primary is replaced."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault; the node stays."""
        if environment.added_nodes >= MAX_ADDED_NODES:
            return 'none left'
        environment.added_nodes += 1
        number = len(environment.nodes)
        _turn_away(environment, f'n{number}')
        node = await environment.start_node(number)
        await _replace_meanwhile(environment, node, duration)
        return node.name


class UnregisteredRestart(Fault):
    """A node restarts that the store turns away; the primary is replaced.

    If it was killed, the entry of its former process may be removed late.
    """

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        node = environment.pick_node()
        randomness = environment.randomness
        is_killed = randomness.choice((True, False))
        if is_killed:
            node.kill()
        else:
            await node.stop()
        _turn_away(environment, node.name)
        node.start()
        if is_killed and randomness.choice((True, False)):
            await curio.spawn(
                _remove_late, environment, node, duration, daemon=True
            )
        await _replace_meanwhile(environment, node, duration)
        return f'{node.name} {"killed" if is_killed else "stopped"}'


class SuccessorLost(Fault):
    """A primary fails, its successor is lost for good, and it comes back.

    The nodes may lose their links to the successor first, so that none sees
    it lead.  It happens once: two of three databases must go on.
    """

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject the fault; clear that of the first primary."""
        primary = environment.reserve_server(environment.is_primary)
        if primary is None:
            return 'none free'
        await _fail(environment, primary)
        successor = await _wait_for_successor(environment)
        if successor is None:
            await environment.restore_server(primary)
            return f'{primary.name} not replaced'
        nodes = list(environment.nodes)
        if environment.randomness.choice((True, False)):
            nodes = pick_nodes(environment)
        address = environment.links[successor.name].address
        environment.partitions.add(
            [Block(node.name, address, BOTH_DIRECTIONS) for node in nodes]
        )
        await curio.sleep(environment.randomness.uniform(0, _MAX_LED_S))
        environment.faulty_servers.add(successor.name)
        await successor.crash()
        await curio.sleep(duration)
        if environment.randomness.choice((True, False)):
            await environment.store.delete('servers', successor.name)
        await _return(environment, primary)
        return f'{primary.name}, then {successor.name} for good'


async def _fail(environment: SoakEnvironment, server: DatabaseServer) -> None:
    """Make a server crash or answer nothing."""
    server.is_unresponsive = environment.randomness.choice((True, False))
    if not server.is_unresponsive:
        await server.crash()


async def _return(environment: SoakEnvironment, server: DatabaseServer) -> None:
    """Let a server go on with the log that it has."""
    server.is_unresponsive = False
    if not server.is_running:
        await server.start()
        environment.links[server.name].target = server.address
    environment.faulty_servers.discard(server.name)


async def _wait_for_successor(
    environment: SoakEnvironment,
) -> DatabaseServer | None:
    """Return the server that takes over next, if any does in time."""
    group = environment.group
    count = len(group.takeovers)
    async with curio.ignore_after(_TAKEOVER_TIMEOUT_S):
        while len(group.takeovers) == count:
            await curio.sleep(_POLL_INTERVAL_S)
    if len(group.takeovers) == count:
        return None
    return group.servers[group.takeovers[count].server]


def _turn_away(environment: SoakEnvironment, name: str) -> None:
    fault = environment.randomness.choice(STORE_FAULTS)
    environment.store.turned_away[name] = fault


async def _remove_late(
    environment: SoakEnvironment, node: NodeProcess, duration: float
) -> None:
    """Carry out the removal of a former process's entry late."""
    await curio.sleep(
        environment.randomness.uniform(0, duration + _EXTRA_DURATION_S)
    )
    await environment.store.delete(_MEMBERS, node.name)


async def _replace_meanwhile(
    environment: SoakEnvironment, node: NodeProcess, duration: float
) -> None:
    """Replace the primary while the store turns a node away."""
    primary = environment.reserve_server(environment.is_primary)
    if primary is None:
        await curio.sleep(duration + _EXTRA_DURATION_S)
    else:
        await replace_primary(
            environment, primary, duration + _EXTRA_DURATION_S
        )
    environment.store.turned_away.pop(node.name, None)


#: Drawn with equal probability per entry.
MEMBERSHIP_FAULTS: Final[tuple[Fault, ...]] = (
    NodeAdded(),
    NodeAdded(),
    UnregisteredRestart(),
    UnregisteredRestart(),
    UnregisteredRestart(),
    SuccessorLost(),
)
