"""Workspace keys, tested through whole nodes in virtual time."""

import io

import curio
import msgspec
import pytest

from deckdrum.fleet.node_messages import FetchUpdates
from deckdrum.platform.configuration import decode_configuration
from deckdrum.standins.users.store import StoreFault
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN_WRITES,
    Deployment,
    build_config,
    build_route,
    build_workspace,
    run_scenario,
)
from deckdrum.utils.virtualtime import run_virtual

KEY = 'nirth5mgjy5rcpihhacr'
OTHER_KEY = 'uddedev3nax7u27gxpry'
GROWERS = build_workspace('growers', KEY)
SHOPPERS = build_workspace('shoppers', OTHER_KEY)
EXPECTED_WORKSPACES = {True: 'growers', False: 'shoppers'}
#: More nodes than connections per server: some nodes forward statements.
MANY_NODES = 12
FEW_CONNECTIONS = 9


def _list_workspaces(deployment: Deployment) -> set[str]:
    """Return the workspaces for which servers have executed statements."""
    return {executed.who for executed in deployment.group.executed_statements}


async def _is_refused(client: LineClient, text: str = 'READ a') -> bool:
    reply = await client.ask(text)
    return reply.end == 'ERROR' and reply.text.startswith('NOAUTH')


async def _send_with_keys(deployment: Deployment, number: int) -> None:
    """Send statements to a node with known and unknown keys."""
    for key in (KEY, OTHER_KEY, 'guessed'):
        client = await deployment.connect(OWN_WRITES, number, key)
        if not client.greeting.end:
            await client.ask('READ a')
            await client.ask('WRITE a 1')


@pytest.mark.parametrize('database', [CURRENT, BOUNDED, OWN_WRITES])
@pytest.mark.parametrize(
    ('nodes', 'limit'), [(3, 23), (MANY_NODES, FEW_CONNECTIONS)]
)
def test_statements_run_for_the_workspace_of_the_key(
    database: str,
    nodes: int,
    limit: int,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
        for number in range(nodes):
            client = await deployment.connect(database, number, KEY)
            assert (await client.ask('READ a')).is_done
            await client.close()
            client = await deployment.connect(database, number, OTHER_KEY)
            assert (await client.ask('WRITE a 1')).is_done
            await client.close()
        for executed in deployment.group.executed_statements:
            is_read = executed.text.startswith('READ')
            assert executed.who == EXPECTED_WORKSPACES[is_read]

    run_scenario(scenario, nodes=nodes, max_connections=limit, settle=2.5)


def test_unknown_key_is_refused_except_on_a_public_route() -> None:
    async def scenario(deployment: Deployment) -> None:
        routes = [
            build_route(CURRENT, 'primary'),
            build_route(BOUNDED, 'bounded', public=True, maxStalenessMs=1500),
        ]
        await deployment.configure(2, tenants=[GROWERS], routes=routes)
        client = await deployment.connect(CURRENT, key='guessed')
        assert client.greeting.end == 'ERROR'
        assert client.greeting.text.startswith('NOAUTH')
        client = await deployment.connect(BOUNDED, key='guessed')
        assert (await client.ask('READ a')).is_done
        assert 'growers' not in _list_workspaces(deployment)

    run_scenario(scenario)


def test_no_key_is_required_without_workspaces() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT, key='guessed')
        assert (await client.ask('READ a')).is_done

    run_scenario(scenario)


def test_every_key_is_refused_with_an_empty_list_of_workspaces() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[])
        client = await deployment.connect(CURRENT, key=KEY)
        assert client.greeting.text.startswith('NOAUTH')

    run_scenario(scenario)


def test_revoked_key_is_refused_at_the_next_transaction_of_a_session() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS])
        client = await deployment.connect(CURRENT, key=KEY)
        idle = await deployment.connect(CURRENT, key=KEY)
        active = await deployment.connect(CURRENT, key=KEY)
        assert (await client.ask('READ a')).is_done
        assert (await idle.ask('BEGIN')).is_done
        assert (await active.ask('BEGIN')).is_done
        assert (await active.ask('READ a')).is_done
        await deployment.configure(3, tenants=[build_workspace('growers')])
        executed = len(deployment.group.executed_statements)
        assert await _is_refused(client)
        assert await _is_refused(client, 'BEGIN')
        # The transaction has not sent anything to a server yet.
        assert await _is_refused(idle)
        assert len(deployment.group.executed_statements) == executed
        # A transaction in progress may be completed.
        assert (await active.ask('WRITE a 1')).is_done
        assert (await active.ask('COMMIT')).is_done
        assert await _is_refused(active)

    run_scenario(scenario)


def test_reassigned_key_acts_for_its_new_workspace() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
        client = await deployment.connect(CURRENT, key=KEY)
        assert (await client.ask('READ a')).is_done
        reassigned = build_workspace('shoppers', OTHER_KEY, KEY)
        await deployment.configure(
            3, tenants=[build_workspace('growers'), reassigned]
        )
        assert (await client.ask('READ b')).is_done
        assert [
            executed.who for executed in deployment.group.executed_statements
        ] == [
            'growers',
            'shoppers',
        ]

    run_scenario(scenario)


def test_key_is_revoked_while_the_store_refuses_some_nodes() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
        client = await deployment.connect(CURRENT, 0, KEY)
        assert (await client.ask('READ a')).is_done
        for fault, node in ((StoreFault.SILENT, 'n0'), (StoreFault.BUSY, 'n1')):
            deployment.store.turned_away[node] = fault
        config = build_config(3, tenants=[SHOPPERS])
        await deployment.store.write('config', 'main', config)
        # Well below the limit for applying a configuration.
        await curio.sleep(2.5)
        assert await _is_refused(client)

    run_scenario(scenario)


def test_last_of_many_rapid_configurations_is_active() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
        client = await deployment.connect(CURRENT, 0, KEY)
        for version in range(3, 30):
            tenants = [SHOPPERS] if version % 2 else [GROWERS, SHOPPERS]
            config = build_config(version, tenants=tenants)
            await deployment.store.write('config', 'main', config)
            await curio.sleep(0.02)
        await curio.sleep(0.3)
        assert await _is_refused(client)
        await deployment.configure(30, tenants=[GROWERS])
        assert (await client.ask('READ a')).is_done

    run_scenario(scenario)


def test_holder_refuses_a_key_revoked_in_its_own_configuration() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
        caller = next(
            number
            for number, running in enumerate(deployment.nodes)
            if not running.node.services['stalls'].allocator.is_holder
        )
        client = await deployment.connect(CURRENT, caller, KEY)
        assert (await client.ask('READ a')).is_done
        executed = len(deployment.group.executed_statements)
        newest = decode_configuration(
            _encode(build_config(3, tenants=[SHOPPERS])),
        )
        for number, running in enumerate(deployment.nodes):
            if number != caller:
                running.node.view.configuration = newest
        # The forwarding node still has the old configuration.
        assert deployment.nodes[caller].node.view.version == 2
        assert await _is_refused(client)
        assert len(deployment.group.executed_statements) == executed

    run_scenario(
        scenario, nodes=MANY_NODES, max_connections=FEW_CONNECTIONS, settle=2.5
    )


def test_holder_refuses_a_key_known_only_to_the_forwarding_node() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[SHOPPERS])
        caller = next(
            number
            for number, running in enumerate(deployment.nodes)
            if not running.node.services['stalls'].allocator.is_holder
        )
        newest = decode_configuration(
            _encode(build_config(3, tenants=[GROWERS, SHOPPERS])),
        )
        deployment.nodes[caller].node.view.configuration = newest
        client = await deployment.connect(CURRENT, caller, KEY)
        reply = await client.ask('WRITE a 1')
        assert reply.text.startswith('BUSY')
        assert not deployment.group.executed_statements

    run_scenario(
        scenario, nodes=MANY_NODES, max_connections=FEW_CONNECTIONS, settle=2.5
    )


def test_keys_do_not_leak_to_logs_metrics_peers_or_servers() -> None:
    lines = [io.StringIO() for _ in range(MANY_NODES)]

    async def scenario(deployment: Deployment) -> None:
        async with deployment:
            await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
            for number in range(MANY_NODES):
                await _send_with_keys(deployment, number)
            await deployment.configure(3, tenants=[SHOPPERS])
            exposed = ''.join(line.getvalue() for line in lines)
            for running in deployment.nodes:
                node = running.node
                exposed += node.counters.render().decode()
                exposed += str(node.peers.collect_updates(FetchUpdates(0, {})))
                configuration = node.view.configuration
                assert configuration is not None
                exposed += configuration.encoded.decode()
            exposed += str(deployment.group.executed_statements)
            assert 'growers' in exposed
            for key in (KEY, OTHER_KEY, 'guessed'):
                assert key not in exposed

    deployment = Deployment(
        MANY_NODES,
        logs=lines,
        max_connections=FEW_CONNECTIONS,
        settle=2.5,
    )
    run_virtual(scenario, deployment)


def test_encoded_configuration_holds_fingerprints_instead_of_keys() -> None:
    first = decode_configuration(_encode(build_config(2, tenants=[GROWERS])))
    second = decode_configuration(first.encoded)
    assert second == first
    assert KEY.encode() not in first.encoded


def _encode(config: dict[str, object]) -> bytes:
    return msgspec.json.encode(config)
