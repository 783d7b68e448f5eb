"""Primary changes while connections to processes that run on are refused."""

import curio
import pytest

from deckdrum.leadership.context import PrimaryChangeReport
from deckdrum.leadership.primary_change import PrimaryChanger
from deckdrum.standins.users import StoreFault
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.links import CutKind
from deckdrum.testing.nodes import CURRENT, SERVICE

#: The node that is cut off from the others.  It reaches the databases.
_ISOLATED = 2
#: Shorter than the wait for enough fenced replicas.
_SHORT_CUT_S = 0.6


async def _turn_away(deployment: LinkedDeployment, number: int) -> None:
    """Let the store answer a node nothing, and end its watches."""
    deployment.store.turned_away[f'n{number}'] = StoreFault.SILENT
    await deployment.group.primary.publish()
    record = deployment.store.read('deckdrum-leadership', SERVICE)
    await deployment.store.write('deckdrum-leadership', SERVICE, record)
    await curio.sleep(0.1)


async def _lose_path(
    deployment: LinkedDeployment, writer: LineClient, reader: LineClient
) -> None:
    """Cut all nodes but the isolated one, which reads on, from the primary."""
    for number in range(_ISOLATED):
        await deployment.cut_link(number, deployment.group.primary.name)
    await curio.spawn(writer.ask, 'WRITE a 1', daemon=True)
    while not deployment.group.promotions:
        await reader.ask('READ a')
        await curio.sleep(0.05)


@pytest.mark.parametrize(
    ('kind', 'is_planned'),
    [
        (CutKind.SILENT, True),
        (CutKind.RESET, True),
        (CutKind.REFUSE, True),
        (CutKind.SILENT, False),
        (CutKind.RESET, False),
    ],
)
def test_node_that_refuses_connections_reads_no_ended_term(
    kind: CutKind, is_planned: bool
) -> None:
    """A refusal counted as consent, so nobody waited for the node's proof.

    It read at the former primary once the successor had acknowledged a write.
    """

    async def scenario(deployment: LinkedDeployment) -> None:
        former = deployment.group.primary
        await _turn_away(deployment, _ISOLATED)
        await deployment.isolate_node(_ISOLATED, kind)
        writer = await deployment.connect(CURRENT, 0)
        reader = await deployment.connect(CURRENT, _ISOLATED)
        assert (await writer.ask('WRITE a 1')).is_done
        # Its proof of the term is fresh now.
        assert (await reader.ask('READ a')).rows == ['a-1']
        if is_planned:
            await former.drain()
        else:
            await _lose_path(deployment, writer, reader)
        await deployment.wait_for(lambda: bool(deployment.group.takeovers))
        former.is_replication_blocked = True
        writer = await deployment.connect(CURRENT, 0)
        await writer.write_until_done()
        reply = await reader.ask('READ a')
        assert not reply.is_done or reply.rows != ['a-1']

    run_linked_scenario(scenario)


@pytest.mark.parametrize('kind', CutKind)
def test_replica_that_refuses_connections_for_a_moment_is_fenced(
    kind: CutKind,
) -> None:
    """A refusal counted as its end, so it still proved the ended term."""

    async def scenario(deployment: LinkedDeployment) -> None:
        former = deployment.group.primary
        _, hidden = (
            server
            for server in deployment.group.servers.values()
            if server is not former
        )
        # A node with which not all have ended the term.
        await deployment.isolate_node(_ISOLATED)
        for number in range(_ISOLATED):
            await deployment.cut_link(number, former.name)
            await deployment.cut_link(number, hidden.name, kind)
        writer = await deployment.connect(CURRENT, 0)
        await curio.spawn(writer.ask, 'WRITE a 1', daemon=True)
        await deployment.wait_for(lambda: _is_claimed(deployment))
        await curio.sleep(_SHORT_CUT_S)
        for number in range(_ISOLATED):
            await deployment.heal_link(number, hidden.name)
        await deployment.wait_for(lambda: bool(deployment.group.promotions))
        assert hidden.fenced_term == former.term + 1

    run_linked_scenario(scenario)


def _is_claimed(deployment: LinkedDeployment) -> bool:
    record = deployment.store.read('deckdrum-leadership', SERVICE)
    return bool(record['phase'] == 'fencing')


@pytest.mark.parametrize('kind', [CutKind.SILENT, CutKind.RESET])
def test_node_that_others_refuse_claims_no_change(kind: CutKind) -> None:
    """Refusals counted towards the majority that a claim needs.

    A node behind a cut then ended the term of a primary that the others used.
    """

    async def scenario(deployment: LinkedDeployment) -> None:
        former = deployment.group.primary
        await deployment.isolate_node(_ISOLATED, kind)
        hidden = next(
            server.name
            for server in deployment.group.servers.values()
            if server is not former
        )
        # One replica answers, which is less than a change has to fence.
        await deployment.cut_link(_ISOLATED, hidden)
        node = deployment.nodes[_ISOLATED].node
        record = deployment.store.read('deckdrum-leadership', SERVICE)
        changer = PrimaryChanger(node.services[SERVICE], node.tools)
        report = PrimaryChangeReport(SERVICE, former.name, 'test', False)
        assert not await changer.run(report)
        assert deployment.store.read('deckdrum-leadership', SERVICE) == record

    run_linked_scenario(scenario)
