"""Primary changes that were abandoned, or completed but not recorded.

The record of such a change may name no primary, and servers may follow a term
that no node knows.  A replica accepts a fence only for a term later than its
own, so a new claim must use a term above any that servers follow.
"""

from functools import partial
from typing import Any

import curio
import pytest

from deckdrum.leadership.peer_observation import Leader
from deckdrum.leadership.record_store import LeadershipRecordStore
from deckdrum.standins.users import DatabaseServer, StoreFault
from deckdrum.store.records import Phase
from deckdrum.testing.nodes import CURRENT, SERVICE, Deployment, run_scenario
from deckdrum.testing.objectives import (
    DRAIN_TIME_S,
    WRITE_GAP_MAX_S,
    WRITE_GAP_P99_S,
)


async def _record(deployment: Deployment, **fields: Any) -> None:
    """Write the group's record."""
    defaults = {
        'service': SERVICE,
        'term': 1,
        'primary': '',
        'phase': Phase.SETTLED.value,
        'operation': 'of a dead node',
        'driver': 'n9',
        'former': '',
    }
    await deployment.store.write(
        'deckdrum-leadership',
        SERVICE,
        defaults | fields,
    )


def _read_record(deployment: Deployment) -> Any:
    return deployment.store.read('deckdrum-leadership', SERVICE)


def _has_successor(deployment: Deployment, former: DatabaseServer) -> bool:
    return any(
        server.role == 'primary' and server is not former
        for server in deployment.group.servers.values()
    )


def test_claim_exceeds_a_term_known_only_to_servers() -> None:
    async def scenario(deployment: Deployment) -> None:
        old = deployment.group.primary
        for server in deployment.group.servers.values():
            if server is not old:
                server.term = 2
        await old.crash()
        client = await deployment.connect(CURRENT)
        assert await client.write_until_done(WRITE_GAP_MAX_S) < WRITE_GAP_P99_S

    run_scenario(scenario)


@pytest.mark.parametrize('nodes', [3, 9])
def test_primary_resumes_after_an_abandoned_claim_without_primary(
    nodes: int,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await _record(deployment, term=2, phase=Phase.FENCING.value)
        await curio.sleep(1.2)
        await _record(deployment)
        assert await client.write_until_done(WRITE_GAP_MAX_S) < WRITE_GAP_P99_S

    run_scenario(scenario, nodes=nodes)


def test_draining_primary_missing_from_the_record_is_replaced() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await _record(deployment)
        await curio.sleep(0.2)
        old = deployment.group.primary
        await old.drain()
        await deployment.wait_for(
            partial(_has_successor, deployment, old),
            DRAIN_TIME_S,
        )
        assert await client.write_until_done() < WRITE_GAP_P99_S

    run_scenario(scenario)


def test_completed_change_is_recorded_later() -> None:
    async def scenario(deployment: Deployment) -> None:
        """The store is unavailable when the driver settles the record."""
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await deployment.group.primary.crash()
        writing = await curio.spawn(client.write_until_done)
        await deployment.wait_for(lambda: bool(deployment.group.promotions))
        deployment.store.fault = StoreFault.BUSY
        assert await writing.join() < WRITE_GAP_P99_S
        await curio.sleep(2)
        deployment.store.fault = StoreFault.NONE
        await deployment.wait_for(
            lambda: _read_record(deployment)['phase'] == Phase.SETTLED.value,
            WRITE_GAP_MAX_S,
        )
        leader = deployment.group.primary
        assert _read_record(deployment)['primary'] == leader.name

    run_scenario(scenario)


def test_primary_of_an_unrecorded_change_is_replaced() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        first = deployment.group.primary
        await first.crash()
        await client.write_until_done()
        await curio.sleep(1)
        await first.start()
        await deployment.group.rejoin(first)
        record = _read_record(deployment)
        await _record(
            deployment,
            **record | {'phase': Phase.FENCING.value, 'primary': ''},
        )
        await curio.sleep(0.2)
        second = deployment.group.primary
        await second.drain()
        await deployment.wait_for(
            partial(_has_successor, deployment, second),
            DRAIN_TIME_S,
        )
        assert await client.write_until_done() < WRITE_GAP_P99_S

    run_scenario(scenario)


def test_nodes_that_start_without_a_record_find_a_primary() -> None:
    async def scenario(deployment: Deployment) -> None:
        """The servers follow a term from before the nodes started."""
        await deployment.stop_nodes()
        old = deployment.group.primary
        for server in deployment.group.servers.values():
            if server is not old:
                server.term = 2
        await old.crash()
        await deployment.store.delete('servers', old.name)
        await deployment.store.delete('deckdrum-leadership', SERVICE)
        await deployment.start_nodes()
        client = await deployment.connect(CURRENT)
        assert await client.write_until_done(WRITE_GAP_MAX_S) < WRITE_GAP_P99_S

    run_scenario(scenario)


def test_later_claim_is_not_settled_for_an_earlier_one() -> None:
    async def scenario(deployment: Deployment) -> None:
        await _record(deployment, phase=Phase.FENCING.value, operation='first')
        await curio.sleep(0.2)
        node = deployment.nodes[0].node
        known = node.view.get_leadership(SERVICE)
        assert known is not None
        records = LeadershipRecordStore(node.services[SERVICE], node.tools)
        await _record(deployment, term=2, phase='fencing', operation='second')
        await curio.sleep(0.05)
        await records.settle_completed(known[1], Leader('i-stalls-1', 1))
        assert _read_record(deployment)['operation'] == 'second'
        assert _read_record(deployment)['phase'] == Phase.FENCING.value

    run_scenario(scenario)
