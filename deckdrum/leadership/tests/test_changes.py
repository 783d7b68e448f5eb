"""Changes of primary through whole nodes, in virtual time."""

from functools import partial

import curio
import pytest

from deckdrum.fleet.nodes import UNSEEN_PART
from deckdrum.fleet.questions import AskTerm, TermAnswer
from deckdrum.leadership.belief import VALIDITY
from deckdrum.leadership.changes import ChangeReport
from deckdrum.leadership.promotion import Promotion
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import (
    CURRENT,
    OWN,
    SERVICE,
    Deployment,
    LineClient,
    play,
)

#: Longest gap between two acknowledged writes, in seconds; the mark that the
#: users set for the 99th percentile is 4 s.
GAP_LIMIT = 2.5

#: Nodes, how many of them are silent, and whether the others are enough.
AGREEMENTS = (
    (3, 0, True),
    (3, 1, False),
    (5, 1, True),
    (5, 2, False),
    (9, 3, True),
)


def _is_settled(deployment: Deployment) -> bool:
    record = deployment.store.read('deckdrum-leadership', SERVICE)
    return bool(record['phase'] == 'settled')


async def _write_until_done(
    client: LineClient,
    limit: float = 8.0,
) -> float:
    """Write until it succeeds; return how long that took in seconds."""
    began: float = await curio.clock()
    async with curio.timeout_after(limit):
        while not (await client.ask('WRITE a 1')).is_done:
            await curio.sleep(0.05)
    ended: float = await curio.clock()
    return ended - began


def test_dead_primary_is_replaced_once() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await curio.sleep(0.1)
        old = deployment.group.primary
        await old.crash()
        assert await _write_until_done(client) < GAP_LIMIT
        await curio.sleep(2)
        assert len(deployment.group.promotions) == 1
        new = [
            server
            for server in deployment.group.servers.values()
            if server.role == 'primary' and server is not old
        ]
        assert [len(server.log) for server in new] == [2]

    play(scenario)


def test_dark_primary_is_replaced() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await curio.sleep(0.1)
        deployment.group.primary.is_dark = True
        assert await _write_until_done(client) < GAP_LIMIT + 1
        assert len(deployment.group.promotions) == 1

    play(scenario)


def test_leaving_primary_hands_over_without_losing_a_change() -> None:
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

    play(scenario)


def test_furthest_replica_leads() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        old = deployment.group.primary
        first, second = (
            server
            for server in deployment.group.servers.values()
            if server is not old
        )
        first.is_deaf = True
        await client.ask('WRITE a 1')
        await curio.sleep(0.1)
        await old.crash()
        await _write_until_done(client)
        assert deployment.group.promotions[0][0] == second.name

    play(scenario)


@pytest.mark.parametrize('synchronous', [1])
def test_synchronous_group_keeps_every_acknowledged_change(
    synchronous: int,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        done = 0
        for _ in range(5):
            done += (await client.ask('WRITE a 1')).is_done
        await deployment.group.primary.crash()
        await _write_until_done(client)
        assert len(deployment.group.primary.log) > done

    play(scenario, synchronous=synchronous, lag=0.01)


def test_promotion_whose_answer_is_lost_is_resolved() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        deployment.group.lost_promotions = 1
        await deployment.group.primary.crash()
        assert await _write_until_done(client) < GAP_LIMIT + 1
        fences = [fence for _, _, fence in deployment.group.promotions]
        assert fences == sorted(fences)

    play(scenario)


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

    play(scenario, settle=settle)


def test_no_claim_and_no_promotion_without_the_store() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        deployment.store.fault = StoreFault.BUSY
        await deployment.group.primary.crash()
        await curio.sleep(3)
        assert not deployment.group.promotions
        deployment.store.fault = StoreFault.NONE
        assert await _write_until_done(client) < GAP_LIMIT + 2

    play(scenario)


def test_claim_whose_answer_is_lost_is_read_back() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        deployment.store.fault = StoreFault.ANSWERS_LOST
        await deployment.group.primary.crash()
        assert await _write_until_done(client) < GAP_LIMIT + 2
        holders = {holder for _, holder, _ in deployment.group.promotions}
        assert len(holders) == 1

    play(scenario)


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
        assert await _write_until_done(client, 12) < 9
        # The new primary takes changes before the record is settled.
        took = await deployment.wait_for(partial(_is_settled, deployment))
        assert took < 0.5

    play(scenario)


def test_old_primary_is_not_read_after_a_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        """A node that is cut off with the old primary stops in time."""
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
        await _write_until_done(writer)
        ran_before = len(group.ran)
        for _ in range(20):
            await cut_off.ask('READ a')
            await curio.sleep(0.05)
        late = [
            ran
            for ran in group.ran[ran_before:]
            if ran.server == old.name and ran.text.startswith('READ')
        ]
        assert not late

    play(scenario)


def test_cut_off_node_reaches_the_primary_through_another() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        primary = deployment.group.primary
        await deployment.cut_off(0, primary.name)
        assert await _write_until_done(client) < GAP_LIMIT
        for number in range(20):
            assert (await client.ask(f'WRITE a {number}')).is_done
        assert deployment.group.primary is primary
        await deployment.mend(0)
        await curio.sleep(2)
        assert (await client.ask('WRITE a 1')).is_done
        events = deployment.nodes[0].node.counters.events
        assert events['detours_taken'] == 1

    play(scenario)


def test_own_change_survives_in_the_reads_after_a_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN)
        await client.ask('WRITE a 1')
        await curio.sleep(0.2)
        await deployment.group.primary.crash()
        await curio.sleep(3)
        found = await client.ask('READ a')
        assert found.rows == ['a-1']

    play(scenario)


def test_nodes_that_agree_serve_without_replicas_and_store() -> None:
    async def scenario(deployment: Deployment) -> None:
        """The primary and all nodes are cut from replicas and store."""
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        for server in deployment.group.servers.values():
            server.is_dark = server is not deployment.group.primary
        deployment.store.fault = StoreFault.SILENT
        await curio.sleep(2)
        done = 0
        for _ in range(20):
            done += (await client.ask('WRITE a 1')).is_done
            await curio.sleep(0.1)
        assert done >= 18
        assert not deployment.group.promotions

    play(scenario)


async def _stay_silent(_: object) -> None:
    await curio.sleep(60)


@pytest.mark.parametrize(
    ('nodes', 'silent', 'is_agreed'),
    AGREEMENTS,
)
def test_agreement_needs_most_nodes_and_a_margin(
    nodes: int,
    silent: int,
    is_agreed: bool,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        await deployment.wait_for(lambda: len(node.view.members) == nodes)
        for running in deployment.nodes[nodes - silent :]:
            running.node.peers.answer = _stay_silent
        agreed = await node.peers.ask_agreement(SERVICE, 1)
        assert agreed is is_agreed

    play(scenario, nodes=nodes, max_connections=40)


@pytest.mark.parametrize('nodes', range(1, 80))
def test_agreement_and_consent_always_meet(nodes: int) -> None:
    margin = max(1, nodes // UNSEEN_PART)
    agreeing = next(
        count for count in range(nodes + 2) if count * 2 > nodes + margin
    )
    consenting = nodes // 2 + 1
    assert agreeing + consenting > nodes
    # Also if up to half of the margin has joined unseen by those who agree.
    joined = margin // 2
    assert agreeing + (nodes + joined) // 2 + 1 > nodes + joined


def test_node_that_has_just_started_agrees_to_nothing() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.turned_away['n3'] = StoreFault.BUSY
        seeds = tuple(
            running.node.settings.peer_address for running in deployment.nodes
        )
        started = await deployment.start_node(3, seeds)
        deployment.nodes.append(started)
        await deployment.wait_for(lambda: started.node.is_ready)
        answer = await deployment.nodes[0].node.peers.ask(
            started.node.settings.peer_address,
            AskTerm(SERVICE, 1),
        )
        assert answer == TermAnswer(is_open=False)

    play(scenario)


def test_ended_term_takes_the_agreement_away() -> None:
    async def scenario(deployment: Deployment) -> None:
        other = deployment.nodes[1].node.services[SERVICE]
        await other.close_term(1, may_finish=False)
        node = deployment.nodes[0].node
        assert not await node.peers.ask_agreement(SERVICE, 1)

    play(scenario)


def test_minority_of_nodes_changes_nothing() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        for number in (1, 2):
            deployment.nodes[number].node.peers.answer = _stay_silent
        await deployment.group.primary.crash()
        await curio.sleep(4)
        holders = {holder for _, holder, _ in deployment.group.promotions}
        assert 'n0' not in holders

    play(scenario)


def test_late_decision_does_not_replace_the_new_primary() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        old = deployment.group.primary
        await old.crash()
        await _write_until_done(client)
        await curio.sleep(1)
        before = list(deployment.group.promotions)
        for running in deployment.nodes:
            runtime = running.node.services[SERVICE]
            late = Promotion(runtime, running.node.tools)
            report = ChangeReport(SERVICE, old.name, 'late', is_planned=False)
            assert not await late.drive(report)
        assert deployment.group.promotions == before

    play(scenario)


def test_fresh_claim_is_not_overtaken() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        old = deployment.group.primary
        await old.crash()
        async with curio.TaskGroup() as driving:
            for running in deployment.nodes:
                runtime = running.node.services[SERVICE]
                change = Promotion(runtime, running.node.tools)
                report = ChangeReport(SERVICE, old.name, 'race', False)
                await driving.spawn(change.drive, report)
                await curio.sleep(0.05)
        await curio.sleep(3)
        assert len(deployment.group.promotions) == 1

    play(scenario)


def test_replicas_receive_again_at_once_after_a_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        old = deployment.group.primary
        old.is_dark = True
        await _write_until_done(client)
        held = [
            server
            for server in deployment.group.servers.values()
            if server.held_term
        ]
        if held:
            await curio.sleep(0.15)
        assert not any(
            server.held_term for server in deployment.group.servers.values()
        )

    play(scenario)


def test_one_node_of_a_data_centre_asks_for_proof_for_all() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        await deployment.wait_for(lambda: len(node.view.members) == 24)
        await curio.sleep(1)
        clients = [
            await deployment.connect(CURRENT, node=number)
            for number in range(24)
        ]
        before = _count(deployment, 'status_questions')
        for _ in range(30):
            for client in clients:
                assert (await client.ask('READ a')).is_done
            await curio.sleep(0.1)
        asked = _count(deployment, 'status_questions') - before
        assert _count(deployment, 'proofs_by_collector') > 0
        # Alone, each of 24 nodes would ask 1.4 times a second for 3 s and more.
        assert asked < 24 * 3

    play(scenario, nodes=24, max_connections=100)


def test_handed_proof_ends_with_the_term() -> None:
    async def scenario(deployment: Deployment) -> None:
        runtime = deployment.nodes[0].node.services[SERVICE]
        assert await runtime.prove()
        assert 0 <= await runtime.tell_proof(1) < VALIDITY
        assert await runtime.tell_proof(2) < 0
        await runtime.close_term(1, may_finish=False)
        assert await runtime.tell_proof(1) < 0

    play(scenario)


def _count(deployment: Deployment, event: str) -> int:
    return sum(
        running.node.counters.events[event] for running in deployment.nodes
    )


def test_planned_change_without_consent_lets_the_term_go_on() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        for number in (1, 2):
            deployment.nodes[number].node.peers.answer = _stay_silent
        primary = deployment.group.primary
        node = deployment.nodes[0].node
        change = Promotion(node.services[SERVICE], node.tools)
        report = ChangeReport(SERVICE, primary.name, 'leaving', True)
        assert not await change.drive(report)
        assert await _write_until_done(client, 2) < 1
        assert deployment.group.primary is primary

    play(scenario)
