"""Stalled watches, whose request or response was lost without an error.

Without checks, a node misses all changes of a kind until the watch times out
after 25 s, and sends requests to servers that are shutting down.
"""

import curio
import pytest

from deckdrum.control import Changes, Entry, Kind
from deckdrum.platform.records import KIND_NAMES
from deckdrum.standins.users import DatabaseServer, StoreFault
from deckdrum.testing.nodes import Deployment, build_config, run_scenario
from deckdrum.testing.objectives import MAX_RECOVERY_TIME_S

#: Time limit for a change to reach every node, in seconds: half of the drain
#: time of a server (7 s).
PROPAGATION_TIMEOUT_S = 3.5
#: Numbers of nodes and data centres: in the first fleet every node watches the
#: store, in the second most nodes follow a few that do.
FLEETS = ((3, 3), (9, 1))


def _find_replica(deployment: Deployment) -> DatabaseServer:
    return next(
        server
        for server in deployment.group.servers.values()
        if server.role == 'replica'
    )


async def _drain_replica(deployment: Deployment) -> float:
    """Drain a replica; return the seconds until all nodes have learned it."""
    replica = _find_replica(deployment)
    await replica.drain()
    return await deployment.wait_for(
        lambda: all(
            running.node.view.servers[replica.name].is_draining
            for running in deployment.nodes
        ),
        60,
    )


async def _answer_watches(deployment: Deployment) -> None:
    """Write an object of every kind, so that all pending watches return."""
    for kind in KIND_NAMES.values():
        await deployment.store.write(kind, 'unreadable', {})


@pytest.mark.parametrize(('nodes', 'centres'), FLEETS)
@pytest.mark.parametrize('since', [0, 0.3, 0.45, 0.7])
def test_watch_sent_while_the_store_is_silent_is_replaced(
    nodes: int,
    centres: int,
    since: float,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        await _answer_watches(deployment)
        await curio.sleep(since)
        deployment.store.fault = StoreFault.SILENT
        await curio.sleep(2.5)
        deployment.store.fault = StoreFault.NONE
        await curio.sleep(MAX_RECOVERY_TIME_S)
        assert await _drain_replica(deployment) < PROPAGATION_TIMEOUT_S

    run_scenario(scenario, nodes=nodes, centres=centres, settle=3.0)


@pytest.mark.parametrize(('nodes', 'centres'), FLEETS)
def test_watches_that_stay_silent_are_replaced(
    nodes: int,
    centres: int,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.stall_pending_watches()
        await curio.sleep(MAX_RECOVERY_TIME_S)
        assert await _drain_replica(deployment) < PROPAGATION_TIMEOUT_S

    run_scenario(scenario, nodes=nodes, centres=centres, settle=3.0)


def test_configuration_is_applied_although_its_watch_is_silent() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.stall_pending_watches()
        await curio.sleep(MAX_RECOVERY_TIME_S)
        await deployment.store.write('config', 'main', build_config(9))
        took = await deployment.wait_for(
            lambda: all(
                running.node.view.version == 9 for running in deployment.nodes
            ),
            60,
        )
        assert took < PROPAGATION_TIMEOUT_S

    run_scenario(scenario)


def test_outdated_update_does_not_restore_a_removed_server() -> None:
    """A peer's update may arrive after the removal was read from the store."""

    async def scenario(deployment: Deployment) -> None:
        view = deployment.nodes[0].node.view
        name = _find_replica(deployment).name
        server = view.servers[name]
        revision = view.get_revision(Kind.SERVERS)
        removal = Changes(revision + 2, (Entry(name, revision + 2, None),))
        outdated = Changes(revision + 1, (Entry(name, revision + 1, server),))
        await view.apply_update(Kind.SERVERS, removal)
        await view.apply_update(Kind.SERVERS, outdated)
        listed = view.get_update(Kind.SERVERS, 0).entries
        assert name not in {entry.name for entry in listed}
        newer = Changes(revision + 3, (Entry(name, revision + 3, server),))
        await view.apply_update(Kind.SERVERS, newer)
        listed = view.get_update(Kind.SERVERS, 0).entries
        assert name in {entry.name for entry in listed}

    run_scenario(scenario)


def test_server_removed_and_added_in_one_response_is_listed() -> None:
    """Guards against applying the removal after the later addition.

    A removal carries the revision of the whole response, so it seems newer.
    """

    async def scenario(deployment: Deployment) -> None:
        view = deployment.nodes[0].node.view
        name = _find_replica(deployment).name
        server = view.servers[name]
        revision = view.get_revision(Kind.SERVERS)
        changes = (
            Entry(name, revision, None),
            Entry(name, revision + 2, server),
        )
        await view.apply_update(Kind.SERVERS, Changes(revision + 4, changes))
        listed = view.get_update(Kind.SERVERS, 0).entries
        assert name in {entry.name for entry in listed}

    run_scenario(scenario)
