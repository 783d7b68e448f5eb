"""The view of the store, tested through whole nodes in virtual time."""

import io
import json

import curio
import pytest

from deckdrum.control import ControlView, Kind
from deckdrum.platform.configuration import decode_configuration
from deckdrum.platform.records import KIND_NAMES
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    SERVICE,
    Deployment,
    build_config,
    build_route,
    run_scenario,
)
from deckdrum.utils.journal import open_null_journal
from deckdrum.utils.virtualtime import run_virtual

#: Time limit for applying a configuration on all nodes, in seconds.
APPLY_TIMEOUT_S = 3.0


def _count_active(deployment: Deployment, version: int) -> int:
    return sum(
        running.node.view.version >= version for running in deployment.nodes
    )


async def _answer_watches(deployment: Deployment) -> None:
    """Write an object of every kind, so that all pending watches return."""
    for kind in KIND_NAMES.values():
        await deployment.store.write(kind, 'unreadable', {})


@pytest.mark.parametrize(
    'fault',
    [StoreFault.BUSY, StoreFault.MANY, StoreFault.RESET, StoreFault.SILENT],
)
def test_configuration_reaches_a_node_that_the_store_refuses(
    fault: StoreFault,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.turned_away['n1'] = fault
        # Close the connection of the watch that was sent before the fault.
        await deployment.nodes[1].store.close()
        await deployment.store.write('config', 'main', build_config(9))
        took = await deployment.wait_for(
            lambda: _count_active(deployment, 9) == 3,
        )
        assert took < APPLY_TIMEOUT_S

    run_scenario(scenario)


def test_draining_server_is_learned_from_peers() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.turned_away['n1'] = StoreFault.SILENT
        await deployment.nodes[1].store.close()
        replica = next(
            server
            for server in deployment.group.servers.values()
            if server.role == 'replica'
        )
        await replica.drain()
        node = deployment.nodes[1].node
        took = await deployment.wait_for(
            lambda: node.view.servers[replica.name].is_draining,
        )
        assert took < APPLY_TIMEOUT_S
        client = await deployment.connect(BOUNDED, node=1)
        before = len(deployment.group.executed_statements)
        for _ in range(10):
            await client.ask('READ a')
        assert not any(
            ran.server == replica.name
            for ran in deployment.group.executed_statements[before:]
        )

    run_scenario(scenario)


def test_older_configuration_is_not_applied() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.store.write('config', 'main', build_config(9))
        await deployment.wait_for(lambda: _count_active(deployment, 9) == 3)
        old = deployment.nodes[0].store.decode_configuration(
            b'{"version": 3, "routes": [], "services": []}',
        )
        assert not await deployment.nodes[0].node.view.apply_configuration(old)
        assert deployment.nodes[0].node.view.version == 9

    run_scenario(scenario)


def test_requests_are_served_during_a_store_outage() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        deployment.store.fault = StoreFault.SILENT
        done = 0
        for _ in range(100):
            done += (await client.ask('WRITE a 1')).is_done
            await curio.sleep(0.1)
        assert done == 100

    run_scenario(scenario)


def test_servers_are_used_for_a_while_after_their_entries_expire() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        names = list(deployment.group.servers)
        for name in names:
            await deployment.store.delete('servers', name)
        await curio.sleep(1.0)
        assert (await client.ask('WRITE a 1')).is_done
        for server in deployment.group.servers.values():
            await server.publish()
        await curio.sleep(3.0)
        assert (await client.ask('WRITE a 1')).is_done
        node = deployment.nodes[0].node
        assert set(node.view.servers) == set(names)

    run_scenario(scenario)


def test_records_are_listed_again_when_the_history_is_gone() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.store.compact_history()
        routes = [build_route('db-new', 'primary')]
        config = build_config(9, routes=routes)
        deployment.store.page = 1
        await deployment.store.write('config', 'main', config)
        await deployment.store.compact_history()
        await deployment.wait_for(lambda: _count_active(deployment, 9) == 3)
        client = await deployment.connect('db-new')
        assert (await client.ask('WRITE a 1')).is_done

    run_scenario(scenario)


def test_pages_of_a_listing_are_combined() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.page = 1
        store = deployment.nodes[0].store
        listing = await store.list_records(Kind.SERVERS)
        assert {entry.name for entry in listing.entries} == set(
            deployment.group.servers,
        )
        assert listing.revision == deployment.store.revision

    run_scenario(scenario)


def test_undecodable_record_does_not_affect_others() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.store.write('servers', 'i-bad', {'service': 7})
        await curio.sleep(0.5)
        assert 'i-bad' not in deployment.nodes[0].node.view.servers
        client = await deployment.connect(CURRENT)
        assert (await client.ask('WRITE a 1')).is_done
        assert deployment.nodes[0].node.services[SERVICE].servers

    run_scenario(scenario)


def test_record_changed_between_two_pages_is_not_missed() -> None:
    async def scenario(deployment: Deployment) -> None:
        """Change the record of the second page before the third is read."""
        deployment.store.page = 1
        store = deployment.nodes[0].store
        second = sorted(deployment.group.servers)[1]
        listing = await curio.spawn(store.list_records, Kind.SERVERS)
        await curio.sleep(deployment.store.delay * 2.5)
        await deployment.group.servers[second].drain()
        found = await listing.join()
        changes = await store.watch(Kind.SERVERS, found.revision, 0.1)
        assert second in {entry.name for entry in changes.entries}

    run_scenario(scenario)


def test_recovery_of_the_store_is_detected_without_a_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        feed = deployment.nodes[1].node.feed
        deployment.store.turned_away['n1'] = StoreFault.BUSY
        await _answer_watches(deployment)
        await deployment.wait_for(lambda: not feed.is_synchronized)
        deployment.store.turned_away.clear()
        assert await deployment.wait_for(lambda: feed.is_synchronized) < 2.0

    run_scenario(scenario)


def test_only_one_kind_probes_a_store_that_refuses_calls() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.fault = StoreFault.BUSY
        await _answer_watches(deployment)
        await curio.sleep(1.0)
        before = deployment.store.calls.total()
        await curio.sleep(5.0)
        calls = deployment.store.calls.total() - before
        # One kind backs off for 0.4 to 1.2 s; the others call rarely.
        assert calls <= 3 * (13 + 6)

    run_scenario(scenario)


def test_server_removed_without_notice_is_treated_as_draining() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        old = deployment.group.primary
        old.is_listed = False
        await deployment.store.delete('servers', old.name)
        longest: float = 0
        for _ in range(60):
            longest = max(longest, await client.write_until_done())
            await curio.sleep(0.1)
        assert deployment.group.primary is not old
        assert len(deployment.group.promotions) == 1
        # A planned primary change, during which the group has a primary until
        # the old one steps down.
        assert longest < 0.9
        assert old.name not in deployment.nodes[0].node.view.servers

    run_scenario(scenario)


def test_members_listed_together_share_a_log_event() -> None:
    lines = io.StringIO()

    async def scenario(deployment: Deployment) -> None:
        await curio.sleep(1.0)

    run_scenario(scenario, nodes=12, logs=[lines])
    listed = [
        event
        for event in map(json.loads, lines.getvalue().splitlines())
        if event['event'] == 'members.listed'
    ]
    assert sum(event['count'] for event in listed) >= 12
    assert len(listed) <= 6


@pytest.mark.parametrize('is_enabled', [True, False])
def test_urgent_routes_count_only_where_settings_enable_them(
    is_enabled: bool,
) -> None:
    """Unused routes of priority 0 turned the parts on in every deployment."""
    routes = [build_route('db', 'primary', priority=0)]
    encoded = json.dumps(build_config(2, routes=routes)).encode()

    async def scenario() -> None:
        view = ControlView(
            None,  # type: ignore[arg-type]
            open_null_journal('test'),
            is_urgency_enabled=is_enabled,
        )
        await view.apply_configuration(decode_configuration(encoded))
        assert view.configuration is not None
        assert view.configuration.has_urgent_routes is is_enabled

    run_virtual(scenario)
