"""Agreement of nodes on a term, and their consent to its end."""

import curio
import pytest

from deckdrum.fleet.nodes import UNSEEN_PART
from deckdrum.fleet.questions import AskTerm, TermAnswer
from deckdrum.leadership.belief import VALIDITY
from deckdrum.leadership.changes import ChangeReport
from deckdrum.leadership.promotion import Promotion
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import CURRENT, SERVICE, Deployment, play

#: Nodes, how many of them are silent, and whether the others are enough.
AGREEMENTS = (
    (3, 0, True),
    (3, 1, False),
    (5, 1, True),
    (5, 2, False),
    (9, 3, True),
)


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
        assert await client.write_until_done(2) < 1
        assert deployment.group.primary is primary

    play(scenario)
