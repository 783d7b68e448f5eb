"""Primary changes in a deployment of whole nodes, in virtual time."""

from functools import partial

import curio
import pytest

from deckdrum.control import Kind
from deckdrum.leadership.context import PrimaryChangeReport
from deckdrum.leadership.primary_change import PrimaryChanger
from deckdrum.leadership.state import PROOF_LIFETIME_S
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import (
    CURRENT,
    OWN_WRITES,
    SERVICE,
    Deployment,
    run_scenario,
)

#: Longest allowed gap between two acknowledged writes.
MAX_WRITE_GAP_S = 2.5


def _is_settled(deployment: Deployment) -> bool:
    record = deployment.store.read('deckdrum-leadership', SERVICE)
    return bool(record['phase'] == 'settled')


def test_dead_primary_is_replaced_once() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await curio.sleep(0.1)
        old = deployment.group.primary
        await old.crash()
        assert await client.write_until_done() < MAX_WRITE_GAP_S
        await curio.sleep(2)
        assert len(deployment.group.promotions) == 1
        new = [
            server
            for server in deployment.group.servers.values()
            if server.role == 'primary' and server is not old
        ]
        assert [len(server.log) for server in new] == [2]

    run_scenario(scenario)


def test_unreachable_primary_is_replaced() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await curio.sleep(0.1)
        deployment.group.primary.is_unresponsive = True
        assert await client.write_until_done() < MAX_WRITE_GAP_S + 1
        assert len(deployment.group.promotions) == 1

    run_scenario(scenario)


def test_draining_primary_hands_over_without_losing_a_write() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        old = deployment.group.primary
        await old.drain()
        done = 0
        for _ in range(60):
            done += (await client.ask('WRITE a 1')).is_done
            await curio.sleep(0.05)
        new = deployment.group.primary
        assert new is not old
        assert old.role == 'replica'
        assert done == 60
        assert len(new.log) == done

    run_scenario(scenario)


def test_most_advanced_replica_is_promoted() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        old = deployment.group.primary
        first, second = (
            server
            for server in deployment.group.servers.values()
            if server is not old
        )
        first.is_replication_blocked = True
        await client.ask('WRITE a 1')
        await curio.sleep(0.1)
        await old.crash()
        await client.write_until_done()
        assert deployment.group.promotions[0][0] == second.name

    run_scenario(scenario)


@pytest.mark.parametrize('synchronous', [1])
def test_synchronous_group_keeps_every_acknowledged_write(
    synchronous: int,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        done = 0
        for _ in range(5):
            done += (await client.ask('WRITE a 1')).is_done
        await deployment.group.primary.crash()
        await client.write_until_done()
        assert len(deployment.group.primary.log) > done

    run_scenario(scenario, synchronous_replicas=synchronous, lag=0.01)


def test_promotion_with_a_lost_answer_is_resolved() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        deployment.group.unanswered_promotions = 1
        await deployment.group.primary.crash()
        assert await client.write_until_done() < MAX_WRITE_GAP_S + 1
        fencing_tokens = [
            fencing_token for _, _, fencing_token in deployment.group.promotions
        ]
        assert fencing_tokens == sorted(fencing_tokens)

    run_scenario(scenario)


@pytest.mark.parametrize('settle', [0, 1.5])
def test_no_promotion_while_another_node_reaches_the_primary(
    settle: float,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        primary = deployment.group.primary
        await deployment.cut_off(0, primary.name)
        await client.ask('WRITE a 2')
        await curio.sleep(2)
        assert not deployment.group.promotions
        assert deployment.group.primary is primary

    run_scenario(scenario, settle=settle)


def test_no_claim_and_no_promotion_without_the_store() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        deployment.store.fault = StoreFault.BUSY
        await deployment.group.primary.crash()
        await curio.sleep(3)
        assert not deployment.group.promotions
        deployment.store.fault = StoreFault.NONE
        assert await client.write_until_done() < MAX_WRITE_GAP_S + 2

    run_scenario(scenario)


def test_claim_with_a_lost_answer_is_read_back() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        deployment.store.fault = StoreFault.ANSWERS_LOST
        await deployment.group.primary.crash()
        assert await client.write_until_done() < MAX_WRITE_GAP_S + 2
        holders = {holder for _, holder, _ in deployment.group.promotions}
        assert len(holders) == 1

    run_scenario(scenario)


def test_change_of_a_dead_driver_is_taken_over() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        primary = deployment.group.primary.name
        await deployment.store.write(
            'deckdrum-leadership',
            SERVICE,
            {
                'service': SERVICE,
                'term': 2,
                'primary': '',
                'phase': 'fencing',
                'operation': 'of a dead node',
                'driver': 'n9',
                'former': primary,
            },
        )
        await curio.sleep(0.5)
        refused = await client.ask('WRITE a 2')
        assert not refused.is_done
        assert await client.write_until_done(12) < 9
        # The new primary accepts writes before the record is settled.
        took = await deployment.wait_for(partial(_is_settled, deployment))
        assert took < 0.5

    run_scenario(scenario)


def test_old_primary_is_not_read_after_a_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        """A node cut off together with the old primary stops using it."""
        group = deployment.group
        cut_off = await deployment.connect(CURRENT, node=2)
        await cut_off.ask('WRITE a 1')
        await curio.sleep(0.1)
        old = group.primary
        deployment.store.turned_away['n2'] = StoreFault.SILENT
        await deployment.nodes[2].node.peers.close()
        for number in (0, 1):
            await deployment.cut_off(number, old.name)
        writer = await deployment.connect(CURRENT, node=0)
        await writer.ask('WRITE a 2')
        await writer.write_until_done()
        ran_before = len(group.executed_statements)
        for _ in range(20):
            await cut_off.ask('READ a')
            await curio.sleep(0.05)
        late = [
            ran
            for ran in group.executed_statements[ran_before:]
            if ran.server == old.name and ran.text.startswith('READ')
        ]
        assert not late

    run_scenario(scenario)


def test_cut_off_node_reaches_the_primary_through_another() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        primary = deployment.group.primary
        await deployment.cut_off(0, primary.name)
        assert await client.write_until_done() < MAX_WRITE_GAP_S
        for number in range(20):
            assert (await client.ask(f'WRITE a {number}')).is_done
        assert deployment.group.primary is primary
        await deployment.heal_partition(0)
        await curio.sleep(2)
        assert (await client.ask('WRITE a 1')).is_done
        events = deployment.nodes[0].node.counters.events
        assert events['detours_taken'] == 1

    run_scenario(scenario)


def test_session_reads_its_own_write_after_a_primary_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN_WRITES)
        await client.ask('WRITE a 1')
        await curio.sleep(0.2)
        await deployment.group.primary.crash()
        await curio.sleep(3)
        found = await client.ask('READ a')
        assert found.rows == ['a-1']

    run_scenario(scenario)


def test_late_decision_does_not_replace_the_new_primary() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        old = deployment.group.primary
        await old.crash()
        await client.write_until_done()
        await curio.sleep(1)
        before = list(deployment.group.promotions)
        for running in deployment.nodes:
            runtime = running.node.services[SERVICE]
            late = PrimaryChanger(runtime, running.node.tools)
            report = PrimaryChangeReport(
                SERVICE, old.name, 'late', is_planned=False
            )
            assert not await late.run(report)
        assert deployment.group.promotions == before

    run_scenario(scenario)


def test_recent_claim_is_not_taken_over() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        old = deployment.group.primary
        await old.crash()
        async with curio.TaskGroup() as driving:
            for running in deployment.nodes:
                runtime = running.node.services[SERVICE]
                change = PrimaryChanger(runtime, running.node.tools)
                report = PrimaryChangeReport(SERVICE, old.name, 'race', False)
                await driving.spawn(change.run, report)
                await curio.sleep(0.05)
        await curio.sleep(3)
        assert len(deployment.group.promotions) == 1

    run_scenario(scenario)


def test_replicas_are_released_after_a_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        old = deployment.group.primary
        old.is_unresponsive = True
        await client.write_until_done()
        fenced = [
            server
            for server in deployment.group.servers.values()
            if server.fenced_term
        ]
        if fenced:
            await curio.sleep(0.15)
        assert not any(
            server.fenced_term for server in deployment.group.servers.values()
        )

    run_scenario(scenario)


def test_primary_removed_during_a_store_outage_is_replaced() -> None:
    async def scenario(deployment: Deployment) -> None:
        """The leadership record still names the removed server."""
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await deployment.group.primary.crash()
        await client.write_until_done()
        await curio.sleep(1)
        second = deployment.group.primary
        deployment.store.fault = StoreFault.BUSY
        await second.crash()
        await deployment.store.delete('servers', second.name)
        await curio.sleep(6)
        deployment.store.fault = StoreFault.NONE
        assert await client.write_until_done(12) < 6

    run_scenario(scenario)


def test_change_waits_for_a_node_that_was_not_asked() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        member = deployment.store.read('deckdrum-members', 'n1')
        newcomer = member | {'name': 'n9', 'peer_address': '127.0.0.1:1'}

        async def register(kind: Kind) -> None:
            # It may have proof from before the replicas were fenced.
            if kind is Kind.LEADERSHIP:
                await deployment.store.write('deckdrum-members', 'n9', newcomer)

        for running in deployment.nodes:
            running.node.view.on_change.append(register)
        began = await curio.clock()
        await deployment.group.primary.drain()
        await deployment.wait_for(lambda: bool(deployment.group.promotions))
        assert await curio.clock() - began > PROOF_LIFETIME_S

    run_scenario(scenario)
