"""Keys of workspaces through whole nodes, in virtual time."""

import io

import curio
import msgspec
import pytest

from deckdrum.fleet.node_messages import AskNews
from deckdrum.platform.configuration import decode_configuration
from deckdrum.standins.users.store import StoreFault
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN,
    Deployment,
    LineClient,
    build_config,
    build_route,
    build_tenant,
    play,
)
from deckdrum.utils.virtualtime import run_virtual

KEY = 'nirth5mgjy5rcpihhacr'
OTHER_KEY = 'uddedev3nax7u27gxpry'
GROWERS = build_tenant('growers', KEY)
SHOPPERS = build_tenant('shoppers', OTHER_KEY)
RUNNERS = {True: 'growers', False: 'shoppers'}
#: More nodes than a server accepts connections: some hand statements over.
MANY = 12
FEW = 9


def _list_runners(deployment: Deployment) -> set[str]:
    """Return for whom the databases have run statements."""
    return {ran.who for ran in deployment.group.ran}


async def _is_refused(client: LineClient, text: str = 'READ a') -> bool:
    reply = await client.ask(text)
    return reply.end == 'ERROR' and reply.text.startswith('NOAUTH')


async def _try_keys(deployment: Deployment, number: int) -> None:
    """Ask a node for statements with keys known and unknown."""
    for key in (KEY, OTHER_KEY, 'guessed'):
        client = await deployment.connect(OWN, number, key)
        if not client.greeting.end:
            await client.ask('READ a')
            await client.ask('WRITE a 1')


@pytest.mark.parametrize('database', [CURRENT, BOUNDED, OWN])
@pytest.mark.parametrize(('nodes', 'limit'), [(3, 23), (MANY, FEW)])
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
        for ran in deployment.group.ran:
            is_read = ran.text.startswith('READ')
            assert ran.who == RUNNERS[is_read]

    play(scenario, nodes=nodes, max_connections=limit, settle=2.5)


def test_unknown_key_is_refused_and_public_route_asks_for_none() -> None:
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
        assert 'growers' not in _list_runners(deployment)

    play(scenario)


def test_without_workspaces_no_key_is_asked_for() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT, key='guessed')
        assert (await client.ask('READ a')).is_done

    play(scenario)


def test_no_workspace_means_that_nobody_is_let_in() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[])
        client = await deployment.connect(CURRENT, key=KEY)
        assert client.greeting.text.startswith('NOAUTH')

    play(scenario)


def test_taken_key_ends_an_open_session_with_its_next_transaction() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS])
        client = await deployment.connect(CURRENT, key=KEY)
        resting = await deployment.connect(CURRENT, key=KEY)
        begun = await deployment.connect(CURRENT, key=KEY)
        assert (await client.ask('READ a')).is_done
        assert (await resting.ask('BEGIN')).is_done
        assert (await begun.ask('BEGIN')).is_done
        assert (await begun.ask('READ a')).is_done
        await deployment.configure(3, tenants=[build_tenant('growers')])
        ran = len(deployment.group.ran)
        assert await _is_refused(client)
        assert await _is_refused(client, 'BEGIN')
        # It has sent nothing to a server yet, so it is not too late.
        assert await _is_refused(resting)
        assert len(deployment.group.ran) == ran
        # The one that runs goes on to its end, and is the last.
        assert (await begun.ask('WRITE a 1')).is_done
        assert (await begun.ask('COMMIT')).is_done
        assert await _is_refused(begun)

    play(scenario)


def test_moved_key_runs_for_its_new_workspace() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
        client = await deployment.connect(CURRENT, key=KEY)
        assert (await client.ask('READ a')).is_done
        moved = build_tenant('shoppers', OTHER_KEY, KEY)
        await deployment.configure(3, tenants=[build_tenant('growers'), moved])
        assert (await client.ask('READ b')).is_done
        assert [ran.who for ran in deployment.group.ran] == [
            'growers',
            'shoppers',
        ]

    play(scenario)


def test_key_is_taken_also_where_the_store_turns_nodes_away() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
        client = await deployment.connect(CURRENT, 0, KEY)
        assert (await client.ask('READ a')).is_done
        for fault, node in ((StoreFault.SILENT, 'n0'), (StoreFault.BUSY, 'n1')):
            deployment.store.turned_away[node] = fault
        config = build_config(3, tenants=[SHOPPERS])
        await deployment.store.write('config', 'main', config)
        # Well below the bound for a configuration.
        await curio.sleep(2.5)
        assert await _is_refused(client)

    play(scenario)


def test_storm_of_configurations_leaves_the_last_one_in_force() -> None:
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

    play(scenario)


def test_holder_runs_nothing_that_its_own_version_forbids() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
        caller = next(
            number
            for number, running in enumerate(deployment.nodes)
            if not running.node.services['stalls'].holding.is_holder
        )
        client = await deployment.connect(CURRENT, caller, KEY)
        assert (await client.ask('READ a')).is_done
        ran = len(deployment.group.ran)
        newest = decode_configuration(
            _encode(build_config(3, tenants=[SHOPPERS])),
        )
        for number, running in enumerate(deployment.nodes):
            if number != caller:
                running.node.view.configuration = newest
        # The node itself does not know yet.
        assert deployment.nodes[caller].node.view.version == 2
        assert await _is_refused(client)
        assert len(deployment.group.ran) == ran

    play(scenario, nodes=MANY, max_connections=FEW, settle=2.5)


def test_holder_runs_no_key_that_only_another_node_knows() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.configure(2, tenants=[SHOPPERS])
        caller = next(
            number
            for number, running in enumerate(deployment.nodes)
            if not running.node.services['stalls'].holding.is_holder
        )
        newest = decode_configuration(
            _encode(build_config(3, tenants=[GROWERS, SHOPPERS])),
        )
        deployment.nodes[caller].node.view.configuration = newest
        client = await deployment.connect(CURRENT, caller, KEY)
        reply = await client.ask('WRITE a 1')
        assert reply.text.startswith('BUSY')
        assert not deployment.group.ran

    play(scenario, nodes=MANY, max_connections=FEW, settle=2.5)


def test_no_key_is_logged_measured_told_to_peers_or_to_servers() -> None:
    lines = [io.StringIO() for _ in range(MANY)]

    async def scenario(deployment: Deployment) -> None:
        async with deployment:
            await deployment.configure(2, tenants=[GROWERS, SHOPPERS])
            for number in range(MANY):
                await _try_keys(deployment, number)
            await deployment.configure(3, tenants=[SHOPPERS])
            told = ''.join(line.getvalue() for line in lines)
            for running in deployment.nodes:
                node = running.node
                told += node.counters.render().decode()
                told += str(node.peers.collect_updates(AskNews(0, {})))
                configuration = node.view.configuration
                assert configuration is not None
                told += configuration.encoded.decode()
            told += str(deployment.group.ran)
            assert 'growers' in told
            for key in (KEY, OTHER_KEY, 'guessed'):
                assert key not in told

    deployment = Deployment(
        MANY,
        logs=lines,
        max_connections=FEW,
        settle=2.5,
    )
    run_virtual(scenario, deployment)


def test_peers_hand_over_workspaces_by_fingerprints() -> None:
    first = decode_configuration(_encode(build_config(2, tenants=[GROWERS])))
    second = decode_configuration(first.encoded)
    assert second == first
    assert KEY.encode() not in first.encoded


def _encode(config: dict[str, object]) -> bytes:
    return msgspec.json.encode(config)
