"""Forwarding of statements to holders, with whole nodes in virtual time."""

import curio
import pytest

from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.health import HEARTBEAT_TIMEOUT_S
from deckdrum.fleet.node_messages import Forward
from deckdrum.forwarding.abandonment import CHECK_INTERVAL_S
from deckdrum.forwarding.encoding import encode_outcome
from deckdrum.forwarding.forwarder import HOLDER_RETRY_TIMEOUT_S
from deckdrum.outcomes import Code, refuse
from deckdrum.testing.line_client import Reply
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.links import CutKind
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN_WRITES,
    SERVICE,
    Deployment,
    RunningNode,
    run_scenario,
)

#: More nodes than connections to a server: one holder per data centre.
NODES = 12
MAX_CONNECTIONS = 9
#: Several connections for each holder.
MANY_CONNECTIONS = 20
MANY_NODES = 18


def _list_holders(deployment: Deployment) -> list[int]:
    return [
        number
        for number, running in enumerate(deployment.nodes)
        if running.node.services[SERVICE].allocator.is_holder
    ]


def _find_caller(deployment: Deployment) -> int:
    """Return the number of a node that forwards its statements."""
    return next(
        number
        for number, running in enumerate(deployment.nodes)
        if not running.node.services[SERVICE].allocator.is_holder
    )


def _find_first_holder(deployment: Deployment, caller: int) -> RunningNode:
    """Return the holder to which a node forwards first."""
    name = (
        deployment.nodes[caller].node.services[SERVICE].allocator.others[0].name
    )
    return next(
        running
        for running in deployment.nodes
        if running.node.settings.name == name
    )


async def _never_answer(*_: object) -> None:
    await curio.sleep(60)


def test_only_holders_open_connections() -> None:
    async def scenario(deployment: Deployment) -> None:
        holders = _list_holders(deployment)
        assert len(holders) == 3
        for number in range(NODES):
            for database in (CURRENT, BOUNDED, OWN_WRITES):
                client = await deployment.connect(database, node=number)
                assert (await client.ask('READ a')).is_done
        for number, running in enumerate(deployment.nodes):
            handles = running.node.services[SERVICE].servers.values()
            opened = sum(handle.pool.stats.opened for handle in handles)
            assert bool(opened) == (number in holders)

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_session_values_prepared_statements_and_own_writes_are_kept() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN_WRITES, _find_caller(deployment))
        await client.ask('SET colour red')
        await client.ask('PREPARE s1 WRITE q1')
        await client.ask('PREPARE s2 READ q2')
        for number in range(5):
            assert (await client.ask(f'EXECUTE s1 a {number}')).is_done
            reply = await client.ask('EXECUTE s2 a')
            # The session reads its own write.
            assert reply.rows == [f'a-{number + 1}']
        values = {ran.values for ran in deployment.group.executed_statements}
        assert values == {(('colour', 'red'),)}

    run_scenario(
        scenario,
        nodes=NODES,
        max_connections=MAX_CONNECTIONS,
        settle=2.5,
        lag=0.3,
    )


def test_transaction_runs_on_one_connection_of_the_holder() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT, _find_caller(deployment))
        await client.ask('BEGIN')
        assert (await client.ask('WRITE a 1')).is_done
        await client.ask('SET colour blue')
        assert (await client.ask('WRITE b 2')).is_done
        assert (await client.ask('READ a')).is_done
        reply = await client.ask('COMMIT')
        assert reply.is_done
        assert reply.state == 'I'
        assert len(deployment.group.primary.log) == 1
        assert deployment.group.executed_statements[-2].values == (
            ('colour', 'blue'),
        )

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_stopping_holder_ends_a_transaction_after_its_statement() -> None:
    """One that never rested was cut within a statement by the kill."""

    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        await client.ask('BEGIN')
        reading = await curio.spawn(client.ask, 'READ a')
        await curio.sleep(0.1)
        for number in _list_holders(deployment):
            node = deployment.nodes[number].node
            await node.rollback_transactions('the node stops')
        assert (await reading.join()).is_done
        assert (await client.ask('READ a')).text.startswith('ABORTED')
        assert (await client.ask('ROLLBACK')).state == 'I'

    run_scenario(
        scenario,
        nodes=NODES,
        max_connections=MAX_CONNECTIONS,
        settle=2.5,
        statement_time=0.25,
    )


@pytest.mark.parametrize('ending', ['ROLLBACK', 'disconnect', 'idle'])
def test_uncommitted_transaction_is_rolled_back(ending: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        await client.ask('BEGIN')
        await client.ask('WRITE a 1')
        if ending == 'disconnect':
            await client.close()
        elif ending == 'idle':
            await curio.sleep(4.5)
        else:
            assert (await client.ask(ending)).is_done
        await curio.sleep(0.5)
        assert not deployment.group.primary.log
        for running in deployment.nodes:
            assert not running.node.forwarded
            for handle in running.node.services[SERVICE].servers.values():
                assert not handle.pool.queue.held

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_stopped_holder_is_skipped_and_no_statement_runs_twice() -> None:
    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('WRITE a 0')).is_done
        holder = _find_first_holder(deployment, caller)
        deployment.nodes.remove(holder)
        await holder.node.peers.close()
        began = await curio.clock()
        for number in range(5):
            assert (await client.ask(f'WRITE a {number}')).is_done
        assert await curio.clock() - began < 0.3
        assert len(deployment.group.primary.log) == 6
        await deployment.stop_node(holder)

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


@pytest.mark.parametrize('text', ['READ a', 'WRITE a 1'])
def test_frozen_holder_delays_only_one_statement(text: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('READ a')).is_done
        peers = _find_first_holder(deployment, caller).node.peers
        peers.answer_request = _never_answer
        peers.run_forwarded_statement = _never_answer
        began = await curio.clock()
        assert (await client.ask(text)).is_done
        # A read may be in progress when the holder freezes; a write is sent
        # only after the holder has answered a heartbeat.
        assert await curio.clock() - began < 0.25 + 2 * HEARTBEAT_TIMEOUT_S
        began = await curio.clock()
        for _ in range(5):
            assert (await client.ask(text)).is_done
        assert await curio.clock() - began < 0.1

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_write_with_unknown_outcome_is_not_repeated() -> None:
    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('READ a')).is_done
        holder = _find_first_holder(deployment, caller)
        # The holder freezes after receiving the statement.
        holder.node.peers.run_forwarded_statement = _never_answer
        reply = await client.ask('WRITE a 1')
        assert reply.end == 'ERROR'
        assert reply.text.startswith('INDOUBT')
        assert not deployment.group.primary.log

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_read_that_may_have_run_is_not_reported_as_queue_timeout() -> None:
    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('READ a')).is_done
        for number in _list_holders(deployment):
            peers = deployment.nodes[number].node.peers
            peers.run_forwarded_statement = _never_answer
        reply = await client.ask('READ a')
        assert reply.end == 'ERROR'
        assert reply.text.startswith('ABORTED')
        assert 'nothing of it is kept' in reply.text

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_read_that_may_have_run_is_not_refused_by_the_next_holder() -> None:
    """The refusal of the second holder was passed on as "not run"."""

    async def refuse_forward(channel: StreamChannel, _: Forward) -> None:
        refusal = refuse(Code.QUEUE_FULL)
        await channel.send(encode_outcome(refusal, is_open=False))

    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('READ a')).is_done
        first = _find_first_holder(deployment, caller)
        for number in _list_holders(deployment):
            peers = deployment.nodes[number].node.peers
            peers.run_forwarded_statement = refuse_forward
        first.node.peers.run_forwarded_statement = _never_answer
        reply = await client.ask('READ a')
        assert reply.text.startswith('ABORTED')

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_waiting_statement_ends_when_its_sender_gives_up() -> None:
    """A holder ran it after the sender had answered its caller."""

    async def scenario(deployment: LinkedDeployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('WRITE a 1')).is_done
        holders = [
            deployment.nodes[number].node
            for number in _list_holders(deployment)
        ]
        for holder in holders:
            for handle in holder.services[SERVICE].servers.values():
                # Statements get a connection, but no slot.
                handle.gate.compute_limit = _admit_nothing
        asking = await curio.spawn(client.ask, 'WRITE a 2')
        await curio.sleep(0.2)
        await deployment.isolate_node(caller, CutKind.RESET)
        assert (await asking.join()).text.startswith('INDOUBT')
        await curio.sleep(2 * CHECK_INTERVAL_S)
        for holder in holders:
            for handle in holder.services[SERVICE].servers.values():
                assert not handle.gate.waiting
                assert not handle.load
        assert len(deployment.group.primary.log) == 1

    run_linked_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def _admit_nothing(now: float) -> float:
    return 0


def test_holder_that_cannot_reach_the_primary_is_skipped() -> None:
    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('WRITE a 1')).is_done
        holder = _find_first_holder(deployment, caller)
        primary = deployment.group.primary
        handle = holder.node.services[SERVICE].servers[primary.name]
        handle.is_unreachable = True
        began = await curio.clock()
        assert (await client.ask('WRITE a 2')).is_done
        assert await curio.clock() - began < 0.05

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_isolated_node_detects_all_unresponsive_holders_at_once() -> None:
    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('READ a')).is_done
        node = deployment.nodes[caller].node
        for number in _list_holders(deployment):
            peers = deployment.nodes[number].node.peers
            peers.answer_request = _never_answer
            peers.run_forwarded_statement = _never_answer
        await client.ask('READ a')
        await curio.sleep(HEARTBEAT_TIMEOUT_S)
        for holder in node.services[SERVICE].allocator.others:
            assert node.peers.health.is_unresponsive(holder.name)

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_node_opens_connections_itself_if_no_holder_answers() -> None:
    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        for number in _list_holders(deployment):
            peers = deployment.nodes[number].node.peers
            peers.answer_request = _never_answer
            peers.run_forwarded_statement = _never_answer
            peers.lend_connection = _never_answer
        client = await deployment.connect(CURRENT, caller)
        done = 0
        for _ in range(10):
            done += (await client.ask('WRITE a 1')).is_done
            await curio.sleep(0.3)
        assert done >= 8

    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


@pytest.mark.parametrize('kind', [CutKind.RESET, CutKind.REFUSE])
def test_node_opens_connections_itself_if_a_cut_refuses_its_own(
    kind: CutKind,
) -> None:
    """Holders that refuse connections counted as starting, without end."""

    async def scenario(deployment: LinkedDeployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('WRITE a 1')).is_done
        await deployment.isolate_node(caller, kind)
        done = 0
        for _ in range(10):
            done += (await client.ask('WRITE a 1')).is_done
            await curio.sleep(0.3)
        assert done >= 8
        began = await curio.clock()
        assert (await client.ask('WRITE a 1')).is_done
        # A start takes less time than the cut has lasted.
        assert await curio.clock() - began < HOLDER_RETRY_TIMEOUT_S / 2

    run_linked_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_node_that_can_open_no_stream_to_holders_runs_statements() -> None:
    """Heartbeats over older streams succeed, so no holder counts as lost."""

    async def scenario(deployment: LinkedDeployment) -> None:
        caller = _find_caller(deployment)
        client = await deployment.connect(CURRENT, caller)
        await deployment.isolate_node(caller, CutKind.REFUSE)
        await deployment.nodes[caller].node.peers.forward_streams.close()
        done = 0
        for _ in range(10):
            done += (await client.ask('WRITE a 1')).is_done
            await curio.sleep(0.3)
        assert done >= 8

    run_linked_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def test_graceful_shutdown_of_a_holder_fails_no_statement() -> None:
    async def ask_repeatedly(
        deployment: Deployment, number: int
    ) -> list[Reply]:
        client = await deployment.connect(CURRENT, node=number)
        replies = []
        for _ in range(40):
            replies.append(await client.ask('WRITE a 1'))
            await curio.sleep(0.05)
        return replies

    async def scenario(deployment: Deployment) -> None:
        caller = _find_caller(deployment)
        holder = _find_first_holder(deployment, caller)
        asking = await curio.spawn(ask_repeatedly, deployment, caller)
        await curio.sleep(0.3)
        await holder.node.begin_shutdown()
        await curio.sleep(0.8)
        deployment.nodes.remove(holder)
        await deployment.stop_node(holder)
        replies = await asking.join()
        assert all(reply.is_done for reply in replies)
        assert len(deployment.group.primary.log) == len(replies)

    run_scenario(
        scenario, nodes=MANY_NODES, max_connections=MANY_CONNECTIONS, settle=2.5
    )
