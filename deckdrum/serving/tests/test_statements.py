"""Callers' statements, tested with complete nodes in virtual time."""

from typing import Final

import curio
import pytest

from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN_WRITES,
    ZONES,
    Deployment,
    build_config,
    run_scenario,
)

RED: Final = (('colour', 'red'),)
BLUE: Final = (('colour', 'blue'),)


def test_write_is_read_back_from_a_replica() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN_WRITES)
        written = await client.ask('WRITE a 1')
        assert written.is_done
        await curio.sleep(0.1)
        found = await client.ask('READ a')
        assert found.rows == ['a-1']
        reader = deployment.group.executed_statements[-1].server
        assert reader != deployment.group.primary.name

    run_scenario(scenario, lag=0)


def test_own_change_is_read_at_the_primary_while_replicas_lag() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN_WRITES)
        await client.ask('WRITE a 1')
        found = await client.ask('READ a')
        assert found.rows == ['a-1']
        assert (
            deployment.group.executed_statements[-1].server
            == deployment.group.primary.name
        )

    run_scenario(scenario, lag=1.0)


def test_current_read_sees_the_change_of_another_node() -> None:
    async def scenario(deployment: Deployment) -> None:
        writer = await deployment.connect(CURRENT, node=0)
        reader = await deployment.connect(CURRENT, node=1)
        for number in range(1, 6):
            await writer.ask(f'WRITE a {number}')
            found = await reader.ask('READ a')
            assert found.rows == [f'a-{number}']

    run_scenario(scenario, lag=0.5)


def test_bounded_read_is_no_older_than_accepted() -> None:
    async def scenario(deployment: Deployment) -> None:
        writer = await deployment.connect(CURRENT, node=0)
        reader = await deployment.connect(BOUNDED, node=1)
        await reader.ask('READ a')
        for server in deployment.group.servers.values():
            server.is_replication_blocked = True
        await writer.ask('WRITE a 1')
        await curio.sleep(1.6)
        found = await reader.ask('READ a')
        assert found.rows == ['a-1']

    run_scenario(scenario)


def test_bounded_reads_go_to_replicas() -> None:
    async def scenario(deployment: Deployment) -> None:
        reader = await deployment.connect(BOUNDED)
        for _ in range(40):
            assert (await reader.ask('READ a')).is_done
            await curio.sleep(0.1)
        servers = [ran.server for ran in deployment.group.executed_statements]
        replicas = [
            name for name in servers if name != deployment.group.primary.name
        ]
        assert len(replicas) >= 38

    run_scenario(scenario)


def test_transaction_runs_on_one_connection_and_is_committed() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        assert (await client.ask('BEGIN')).state == 'T'
        assert (await client.ask('WRITE a 1')).state == 'T'
        assert (await client.ask('READ a')).state == 'T'
        committed = await client.ask('COMMIT')
        assert committed.is_done
        assert committed.state == 'I'
        assert committed.text != '-'
        assert len(deployment.group.primary.log) == 1

    run_scenario(scenario)


def test_rolled_back_transaction_has_no_effect() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('BEGIN')
        await client.ask('WRITE a 1')
        rolled_back = await client.ask('ROLLBACK')
        assert rolled_back.state == 'I'
        assert not deployment.group.primary.log

    run_scenario(scenario)


def test_transaction_of_disconnected_client_is_rolled_back() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('BEGIN')
        await client.ask('WRITE a 1')
        await client.close()
        await curio.sleep(0.1)
        other = await deployment.connect(CURRENT)
        assert (await other.ask('WRITE b 1')).is_done
        assert len(deployment.group.primary.log) == 1

    run_scenario(scenario)


def test_failed_transaction_can_only_be_rolled_back() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('BEGIN')
        await client.ask('READ a')
        deployment.group.primary.rejections.append('FAILED')
        lost = await client.ask('WRITE a 1')
        assert lost.text.startswith('ABORTED')
        assert lost.state == 'E'
        more = await client.ask('READ a')
        assert more.text.startswith('MALFORMED')
        assert more.state == 'E'
        committed = await client.ask('COMMIT')
        assert committed.text.startswith('ABORTED')
        assert committed.state == 'I'
        assert not deployment.group.primary.log

    run_scenario(scenario)


def test_prepared_names_of_two_callers_do_not_clash() -> None:
    async def scenario(deployment: Deployment) -> None:
        first = await deployment.connect(OWN_WRITES)
        second = await deployment.connect(OWN_WRITES)
        await first.ask('PREPARE s1 WRITE q1')
        await second.ask('PREPARE s1 READ q2')
        assert (await first.ask('EXECUTE s1 a x')).is_done
        found = await second.ask('EXECUTE s1 a')
        assert found.rows
        await first.ask('DEALLOCATE s1')
        gone = await first.ask('EXECUTE s1 a x')
        assert gone.text.startswith('NOSTMT')

    run_scenario(scenario)


def test_session_values_apply_to_their_session_only() -> None:
    async def scenario(deployment: Deployment) -> None:
        without_value = await deployment.connect(CURRENT)
        with_value = await deployment.connect(CURRENT)
        await with_value.ask('SET colour red')
        for _ in range(3):
            await with_value.ask('READ a')
            assert deployment.group.executed_statements[-1].values == RED
            await without_value.ask('READ a')
            assert not deployment.group.executed_statements[-1].values
        await with_value.ask('BEGIN')
        await with_value.ask('READ a')
        await with_value.ask('SET colour blue')
        await with_value.ask('READ a')
        assert deployment.group.executed_statements[-1].values == BLUE

    run_scenario(scenario)


def test_rejected_write_is_retried_until_accepted() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        deployment.group.primary.rejections.extend(('BUSY', 'BUSY', 'BUSY'))
        assert (await client.ask('WRITE a 1')).is_done
        assert len(deployment.group.primary.log) == 1

    run_scenario(scenario)


@pytest.mark.parametrize('statement', ['WRITE a 1', 'COMMIT'])
def test_statement_rejected_as_busy_does_not_lose_its_transaction(
    statement: str,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('BEGIN')
        await client.ask('WRITE b 1')
        deployment.group.primary.rejections.extend(('BUSY', 'BUSY', 'BUSY'))
        assert (await client.ask(statement)).is_done
        await client.ask('COMMIT')
        assert len(deployment.group.primary.log) == 1

    run_scenario(scenario)


def test_transaction_is_lost_if_its_server_stays_busy() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('BEGIN')
        await client.ask('WRITE b 1')
        deployment.group.primary.load.is_full = True
        lost = await client.ask('WRITE a 1')
        assert lost.text.startswith('ABORTED')
        assert lost.state == 'E'

    run_scenario(scenario)


@pytest.mark.parametrize('word', ['BUSY', 'LAGGING', 'FAILED', 'TIMEOUT'])
def test_rejected_read_is_retried_on_another_server(word: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        await client.ask('READ a')
        for server in deployment.group.servers.values():
            if server is not deployment.group.primary:
                server.rejections.append(word)
        assert (await client.ask('READ a')).is_done

    run_scenario(scenario)


def test_idle_transaction_is_aborted_and_reported() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('BEGIN')
        await client.ask('WRITE a 1')
        await curio.sleep(3.6)
        late = await client.ask('READ a')
        assert late.text.startswith('ABORTED')
        assert late.state == 'E'
        assert (await client.ask('ROLLBACK')).state == 'I'

    run_scenario(scenario)


def test_removed_route_is_refused() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        assert (await client.ask('READ a')).is_done
        config = build_config(5)
        config['routes'] = [
            route for route in config['routes'] if route['host'] != BOUNDED
        ]
        await deployment.store.write('config', 'main', config)
        await curio.sleep(0.5)
        assert (await client.ask('READ a')).text.startswith('NODB')

    run_scenario(scenario)


def test_internal_commands_from_callers_are_refused() -> None:
    async def scenario(deployment: Deployment) -> None:
        for text in ('STATUS', 'PAUSE 7', 'DEMOTE 9', 'AFTER 1.1 READ a'):
            client = await deployment.connect(CURRENT)
            reply = await client.ask(text)
            assert reply.text.startswith('MALFORMED')
        assert deployment.group.primary.role == 'primary'
        assert not any(
            server.fenced_term for server in deployment.group.servers.values()
        )

    run_scenario(scenario)


def test_one_node_samples_the_primary_for_its_data_centre() -> None:
    async def scenario(deployment: Deployment) -> None:
        clients = [
            await deployment.connect(BOUNDED, node=number)
            for number in range(9)
        ]
        for _ in range(30):
            for client in clients:
                assert (await client.ask('READ a')).is_done
            await curio.sleep(0.1)
        sampled = sum(
            running.node.counters.events['primary_samples']
            for running in deployment.nodes
        )
        # One per 0.6 s and a few at the start.
        assert sampled <= 12

    run_scenario(scenario, nodes=9, centres=1, settle=2.5)


def test_read_waits_for_a_sample_rather_than_load_the_primary() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        await curio.sleep(5)
        for _ in range(3):
            await client.ask('READ a')
            await curio.sleep(2.5)
        servers = {ran.server for ran in deployment.group.executed_statements}
        assert deployment.group.primary.name not in servers

    run_scenario(scenario)


def test_replicas_serve_reads_while_primary_is_overloaded() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        await client.ask('READ a')
        deployment.group.primary.load.is_full = True
        for _ in range(40):
            assert (await client.ask('READ a')).is_done
            await curio.sleep(0.1)

    run_scenario(scenario)


def test_answers_of_replicas_provide_proof() -> None:
    async def scenario(deployment: Deployment) -> None:
        writer = await deployment.connect(CURRENT)
        reader = await deployment.connect(BOUNDED)
        events = deployment.nodes[0].node.counters.events
        before = events['status_questions']
        for _ in range(60):
            assert (await writer.ask('WRITE a 1')).is_done
            assert (await reader.ask('READ a')).is_done
            await curio.sleep(0.1)
        # Without it there would be one per 0.7 s.
        assert events['status_questions'] - before <= 2

    run_scenario(scenario)


@pytest.mark.parametrize('policy', list(Policy))
def test_statements_are_served_with_one_policy_disabled(policy: Policy) -> None:
    async def scenario(deployment: Deployment) -> None:
        clients = [
            await deployment.connect(database, node=number)
            for number in range(5)
            for database in (CURRENT, BOUNDED, OWN_WRITES)
        ]
        for client in clients:
            assert (await client.ask('WRITE a 1')).is_done
            assert (await client.ask('READ a')).is_done
        primary = deployment.group.primary
        deployment.group.servers['i-stalls-2'].lost_answers = 1
        await primary.crash()
        assert await clients[0].write_until_done() < 4
        for client in clients:
            assert (await client.ask('READ a')).is_done

    enabled_policies = ALL_POLICIES - {policy}
    run_scenario(
        scenario, nodes=5, policies=enabled_policies, max_connections=11
    )


def test_read_queues_at_local_replica() -> None:
    async def scenario(deployment: Deployment) -> None:
        first = await deployment.connect(BOUNDED, node=1)
        second = await deployment.connect(BOUNDED, node=1)
        for _ in range(10):
            reading = await curio.spawn(first.ask, 'READ a')
            await curio.sleep(0.005)
            assert (await second.ask('READ a')).is_done
            assert (await reading.join()).is_done
        near = next(
            server.name
            for server in deployment.group.servers.values()
            if server.zone == ZONES[1]
        )
        # The first reads run before response times have been estimated.
        readers = [ran.server for ran in deployment.group.executed_statements]
        assert set(readers[4:]) == {near}

    run_scenario(scenario, statement_time=0.015)
