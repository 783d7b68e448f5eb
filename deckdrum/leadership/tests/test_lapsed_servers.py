"""Primary changes while entries are missing from the server directory."""

import curio
import pytest

from deckdrum.control.view import IMPLIED_DRAIN_TIME_S, REMOVAL_GRACE_S
from deckdrum.standins.users import DatabaseServer
from deckdrum.testing.nodes import CURRENT, SERVICE, Deployment, run_scenario

#: Time after which nodes have forgotten a server whose entry is gone.
_FORGOTTEN_S = REMOVAL_GRACE_S + IMPLIED_DRAIN_TIME_S + 1
_WRITES = 5


def _list_replicas(deployment: Deployment) -> list[DatabaseServer]:
    primary = deployment.group.primary
    servers = deployment.group.servers.values()
    return [server for server in servers if server is not primary]


@pytest.mark.parametrize('is_replica_forgotten', [False, True])
def test_replica_with_acknowledged_writes_is_waited_for(
    is_replica_forgotten: bool,
) -> None:
    """Servers whose entries are gone count among those to be fenced.

    Otherwise one fenced replica of two seems to have every synchronous write.
    """

    async def scenario(deployment: Deployment) -> None:
        services = [{'name': SERVICE, 'maxConns': 23, 'syncReplicas': 1}]
        await deployment.configure(2, services=services)
        lagging, complete = _list_replicas(deployment)
        lagging.is_replication_blocked = True
        client = await deployment.connect(CURRENT)
        for _ in range(_WRITES):
            assert (await client.ask('WRITE a 1')).is_done
        primary = deployment.group.primary
        await primary.crash()
        complete.is_unresponsive = True
        await deployment.store.delete('servers', primary.name)
        if is_replica_forgotten:
            await deployment.store.delete('servers', complete.name)
        await curio.spawn(client.write_until_done, 30, daemon=True)
        await curio.sleep(_FORGOTTEN_S + 4)
        servers = deployment.nodes[0].node.services[SERVICE].servers
        assert primary.name not in servers
        assert not deployment.group.promotions
        complete.is_unresponsive = False
        await complete.publish()
        await curio.sleep(4)
        promoted = {server for server, _, _ in deployment.group.promotions}
        assert promoted == {complete.name}

    run_scenario(scenario, synchronous_replicas=1, lag=0.01)


def test_replica_that_serves_on_without_an_entry_is_waited_for() -> None:
    """It alone had confirmed writes, and the other replica was promoted."""

    async def scenario(deployment: Deployment) -> None:
        services = [{'name': SERVICE, 'maxConns': 23, 'syncReplicas': 1}]
        await deployment.configure(2, services=services)
        lagging, complete = _list_replicas(deployment)
        complete.is_listed = False
        await deployment.store.delete('servers', complete.name)
        lagging.is_replication_blocked = True
        client = await deployment.connect(CURRENT)
        for _ in range(_WRITES):
            assert (await client.ask('WRITE a 1')).is_done
        await curio.sleep(_FORGOTTEN_S)
        primary = deployment.group.primary
        await primary.crash()
        writing = await curio.spawn(client.write_until_done, 30)
        await curio.sleep(7)
        assert not deployment.group.promotions
        await primary.start()
        await writing.join()
        assert len(primary.log) == _WRITES + 1

    run_scenario(scenario, synchronous_replicas=1, lag=0.01)


def test_planned_change_does_not_wait_for_a_server_without_an_entry() -> None:
    """A replica with the whole log of the primary needs no other one."""

    async def scenario(deployment: Deployment) -> None:
        services = [{'name': SERVICE, 'maxConns': 23, 'syncReplicas': 1}]
        await deployment.configure(2, services=services)
        _, leaving = _list_replicas(deployment)
        leaving.is_listed = False
        await deployment.store.delete('servers', leaving.name)
        client = await deployment.connect(CURRENT)
        assert (await client.ask('WRITE a 1')).is_done
        await curio.sleep(_FORGOTTEN_S)
        await deployment.group.primary.drain()
        await deployment.wait_for(lambda: bool(deployment.group.takeovers))
        await client.write_until_done()

    run_scenario(scenario, synchronous_replicas=1, lag=0.01)


def test_group_without_synchronous_replicas_replaces_a_forgotten_primary() -> (
    None
):
    """The count above must not block a group that accepts fewer replicas."""

    async def scenario(deployment: Deployment) -> None:
        primary = deployment.group.primary
        _, dark = _list_replicas(deployment)
        client = await deployment.connect(CURRENT)
        assert (await client.ask('WRITE a 1')).is_done
        await primary.crash()
        dark.is_unresponsive = True
        await deployment.store.delete('servers', primary.name)
        await curio.sleep(_FORGOTTEN_S)
        await client.write_until_done()
        assert len(deployment.group.promotions) == 1

    run_scenario(scenario)
