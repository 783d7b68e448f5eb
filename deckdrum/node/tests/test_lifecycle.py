"""Start, shutdown, registration and peers of nodes, in virtual time."""

import io
import json

import curio

from deckdrum.node.shutdown import GracefulShutdown
from deckdrum.standins.users import StoreFault
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import (
    CURRENT,
    SERVICE,
    Deployment,
    run_scenario,
)
from deckdrum.utils import Address


def test_nodes_register_and_deregister() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        await deployment.wait_for(lambda: len(node.view.members) == 3)
        await deployment.stop_node(deployment.nodes.pop(2))
        await deployment.wait_for(lambda: len(node.view.members) == 2)

    run_scenario(scenario)


def test_lost_registration_is_renewed() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        await deployment.wait_for(lambda: len(node.view.members) == 3)
        await deployment.store.delete('deckdrum-members', 'n1')
        await curio.sleep(2.5)
        assert len(node.view.members) == 3

    run_scenario(scenario)


def test_connections_are_allocated_evenly_to_nodes() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        await deployment.wait_for(lambda: len(node.view.members) == 6)
        await curio.sleep(0.5)
        slots = [
            handle.pool.queue.slots
            for running in deployment.nodes
            for handle in running.node.services[SERVICE].servers.values()
        ]
        assert set(slots) == {1, 2}
        # Half of 23 for each of three servers, rounded down.
        assert sum(slots) == 3 * 11

    run_scenario(scenario, nodes=6, max_connections=23)


def test_stopping_node_is_not_ready_but_serves_open_sessions() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        client = await deployment.connect(CURRENT)
        assert node.is_ready
        await node.begin_shutdown()
        assert not node.is_ready
        assert (await client.ask('WRITE a 1')).is_done

    run_scenario(scenario)


def test_only_idle_connections_are_closed() -> None:
    async def scenario(deployment: Deployment) -> None:
        quiet = await deployment.connect(CURRENT)
        busy = await deployment.connect(CURRENT)
        await busy.ask('BEGIN')
        await busy.ask('WRITE a 1')
        frontend = deployment.nodes[0].frontend
        await deployment.nodes[0].node.begin_shutdown()
        await frontend.close_idle_connections(1.0)
        assert await quiet.stream.receive() == b''
        assert (await busy.ask('COMMIT')).is_done
        assert frontend.connections == 1

    run_scenario(scenario)


def test_shutdown_rolls_back_open_transactions_as_reported() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('BEGIN')
        await client.ask('WRITE a 1')
        await deployment.nodes[0].node.rollback_transactions('the node stops')
        reply = await client.ask('COMMIT')
        assert reply.text.startswith('ABORTED')
        assert not deployment.group.primary.log

    run_scenario(scenario)


def test_requests_during_shutdown_are_answered() -> None:
    async def scenario(deployment: Deployment) -> None:
        """Callers keep connecting, as in a data centre with few nodes."""
        running = deployment.nodes.pop(0)
        address = running.frontend.address
        stop = GracefulShutdown(running.node, running.frontend)
        stopping = await curio.spawn(stop.run, 6.0)
        unanswered: list[str] = []
        callers = [
            await curio.spawn(_call_until_refused, address, unanswered)
            for _ in range(4)
        ]
        resting = await LineClient.connect(address, CURRENT)
        await resting.ask('BEGIN')
        await resting.ask('WRITE a 1')
        began = await curio.clock()
        await stopping.join()
        assert await curio.clock() - began < 6.0
        for caller in callers:
            await caller.join()
        assert not unanswered
        await running.store.close()

    run_scenario(scenario, statement_time=0.3)


async def _call_until_refused(
    address: Address,
    unanswered: list[str],
) -> None:
    """Open new sessions until the node refuses connections."""
    while True:
        try:
            client = await LineClient.connect(address, CURRENT)
        except ConnectionError:
            return
        # The node may close idle sessions, so only the first request of each
        # must be answered; callers repeat the others.
        if not await _is_answered(client, 'READ a'):
            unanswered.append('READ a')
        await _is_answered(client, 'READ b')
        await client.close()


async def _is_answered(client: LineClient, text: str) -> bool:
    try:
        reply = await client.ask(text)
    except ConnectionError:
        return False
    return bool(reply.state)


def test_caller_of_a_starting_node_waits_for_its_configuration() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.turned_away['n3'] = StoreFault.SILENT
        running = await deployment.start_node(3)
        deployment.nodes.append(running)
        asking = await curio.spawn(deployment.connect, CURRENT, 3)
        await curio.sleep(0.5)
        configuration = deployment.nodes[0].node.view.configuration
        assert configuration is not None
        await running.node.view.apply_configuration(configuration)
        client = await asking.join()
        assert client.greeting.state == 'I'

    run_scenario(scenario)


def test_caller_of_a_node_without_configuration_is_refused_as_not_run() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.turned_away['n3'] = StoreFault.SILENT
        deployment.nodes.append(await deployment.start_node(3))
        client = await deployment.connect(CURRENT, 3)
        assert client.greeting.text.startswith('BUSY not run')

    run_scenario(scenario)


def test_node_starts_from_its_peers_while_the_store_is_unavailable() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.turned_away['n3'] = StoreFault.BUSY
        seeds = tuple(
            running.node.settings.peer_address for running in deployment.nodes
        )
        running = await deployment.start_node(3, seeds)
        deployment.nodes.append(running)
        took = await deployment.wait_for(lambda: running.node.is_ready)
        assert took < 2
        client = await deployment.connect(CURRENT, node=3)
        assert (await client.ask('WRITE a 1')).is_done

    run_scenario(scenario)


def test_refused_and_late_requests_are_logged_with_their_id() -> None:
    async def scenario(deployment: Deployment) -> list[dict[str, object]]:
        lines = io.StringIO()
        running = await deployment.start_node(3, lines=lines)
        deployment.nodes.append(running)
        await deployment.wait_for(lambda: running.node.is_ready)
        client = await deployment.connect(CURRENT, node=3)
        await client.send('QUERY id-late READ a')
        await client.read_reply()
        deployment.group.primary.lost_answers = 1
        await client.send('QUERY id-doubt WRITE a 1')
        await client.read_reply()
        return [json.loads(line) for line in lines.getvalue().splitlines()]

    entries = run_scenario(scenario, statement_time=0.3)
    entries = [
        entry
        for entry in entries
        if entry['event'] in {'request.late', 'request.unserved'}
    ]
    events = {entry['request']: entry['event'] for entry in entries}
    assert events == {
        'id-late': 'request.late',
        'id-doubt': 'request.unserved',
    }
    doubt = next(entry for entry in entries if entry['request'] == 'id-doubt')
    assert doubt['outcome'].startswith('unknown')
    assert doubt['service'] == SERVICE


def test_primary_changes_after_failed_nodes_are_marked_as_gone() -> None:
    async def scenario(deployment: Deployment) -> None:
        """Two of five nodes fail, then the primary."""
        client = await deployment.connect(CURRENT, node=0)
        await client.ask('WRITE a 1')
        await _fail_nodes(deployment, (3, 4))
        await deployment.group.primary.crash()
        done = False
        for _ in range(100):
            done = (await client.ask('WRITE a 2')).is_done
            if done:
                break
            await curio.sleep(0.05)
        assert done

    run_scenario(scenario, nodes=5)


def test_minority_of_nodes_changes_no_primary() -> None:
    async def scenario(deployment: Deployment) -> None:
        """The others may be partitioned off together and still serve."""
        client = await deployment.connect(CURRENT, node=0)
        await client.ask('WRITE a 1')
        await _fail_nodes(deployment, (2, 3, 4))
        await deployment.group.primary.crash()
        await curio.sleep(8)
        assert not deployment.group.promotions

    run_scenario(scenario, nodes=5)


async def _fail_nodes(
    deployment: Deployment,
    numbers: tuple[int, ...],
) -> None:
    """Make nodes unresponsive until the others have marked them as gone."""
    for number in numbers:
        deployment.nodes[number].node.peers.answer_request = _never_answer
        # Keeps them from renewing their own entries in the store.
        deployment.store.turned_away[f'n{number}'] = StoreFault.SILENT
    await curio.sleep(16)
    members = deployment.nodes[0].node.view.members
    gone = {name for name, member in members.items() if member.is_gone}
    assert gone == {f'n{number}' for number in numbers}


def test_node_marked_as_gone_registers_again() -> None:
    async def scenario(deployment: Deployment) -> None:
        name = deployment.nodes[1].node.settings.name
        raw = deployment.store.read('deckdrum-members', name)
        await deployment.store.write(
            'deckdrum-members',
            name,
            raw | {'is_gone': True},
        )
        await curio.sleep(3)
        assert not deployment.nodes[0].node.view.members[name].is_gone

    run_scenario(scenario)


async def _never_answer(_: object) -> None:
    await curio.sleep(60)


def test_starting_nodes_query_the_listed_primary_first() -> None:
    async def scenario(deployment: Deployment) -> None:
        asked = [
            running.node.counters.events['status_questions']
            for running in deployment.nodes
        ]
        # The primary, and one replica for the leadership proof.
        assert max(asked) <= 2

    run_scenario(scenario, settle=0)
