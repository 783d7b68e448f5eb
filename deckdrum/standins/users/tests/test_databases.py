"""The stand-in for a database group: promotions and replaced primaries."""

import math

import curio
import pytest

from deckdrum.leadership.promotion_client import PromotionRequest
from deckdrum.platform.promotion_client import PlatformPromotionClient
from deckdrum.standins.users import Connectivity, DatabaseServer
from deckdrum.standins.users.databases import STEP_DOWN_DELAY_S
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import SERVICE, Deployment, run_scenario
from deckdrum.utils import dial


def test_rejoining_server_waits_until_there_is_a_primary() -> None:
    """`rejoin` must not fail between one term and the next."""

    async def scenario(deployment: Deployment) -> None:
        old, back, new = deployment.group.servers.values()
        await back.crash()
        old.role = 'replica'
        await back.start()
        rejoining = await curio.spawn(deployment.group.rejoin, back)
        await curio.sleep(0.1)
        assert not rejoining.terminated
        new.log = list(old.log)
        await new.become_primary(2)
        await rejoining.join()
        assert back.term == 2

    run_scenario(scenario)


async def _promote(deployment: Deployment) -> DatabaseServer:
    """Promote a replica; return it once it is primary."""
    group = deployment.group
    successor = next(
        server
        for server in group.servers.values()
        if server is not group.primary
    )
    client = PlatformPromotionClient(group.promotion_address)
    request = PromotionRequest(SERVICE, successor.name, 'test', 1, math.inf)
    await client.promote(request, 1)
    await deployment.wait_for(lambda: group.primary is successor)
    return successor


def test_replaced_primary_continues_until_it_reaches_its_successor() -> None:
    """Writes to a replaced primary went unseen if it stepped down at once."""

    async def scenario(deployment: Deployment) -> None:
        await deployment.stop_nodes()
        old = deployment.group.primary
        old.connectivity = Connectivity.CUT_OFF
        await _promote(deployment)
        await curio.sleep(2 * STEP_DOWN_DELAY_S)
        assert old.role == 'primary'
        old.connectivity = Connectivity.OPEN
        elapsed = await deployment.wait_for(lambda: old.role == 'replica')
        assert elapsed == pytest.approx(STEP_DOWN_DELAY_S, abs=0.1)
        assert old.term == 2

    run_scenario(scenario)


def test_replaced_primary_executes_writes_until_it_is_demoted() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.stop_nodes()
        old = deployment.group.primary
        client = LineClient(await dial(old.address, 1))
        await client.send(f'STARTUP {SERVICE} test')
        await client.read_reply()
        await _promote(deployment)
        assert (await client.ask('WRITE a 1')).is_done
        takeover = deployment.group.takeovers[0]
        commit = deployment.group.commits[-1]
        assert commit.server == old.name
        assert commit.committed_at > takeover.took_effect_at
        await client.ask('DEMOTE 2')
        assert old.role == 'replica'
        assert not (await client.ask('WRITE a 1')).is_done
        await deployment.wait_for(lambda: old.term == 2)
        assert not old.log

    run_scenario(scenario)


@pytest.mark.parametrize('is_replaced', [True, False])
def test_crashed_primary_returns_as_replica_only_if_replaced(
    is_replaced: bool,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.stop_nodes()
        old = deployment.group.primary
        await old.crash()
        if is_replaced:
            await _promote(deployment)
        await old.start()
        expected = 'replica' if is_replaced else 'primary'
        assert old.role == expected

    run_scenario(scenario)


def test_promotion_of_a_server_that_crashes_meanwhile_has_no_effect() -> None:
    async def scenario(deployment: Deployment) -> None:
        await deployment.stop_nodes()
        group = deployment.group
        old = group.primary
        await old.crash()
        promoting = await curio.spawn(_promote, deployment)
        await deployment.wait_for(lambda: bool(group.promotions))
        await group.servers[group.promotions[0][0]].crash()
        await curio.sleep(2 * group.promotion_time)
        assert group.primary is old
        assert not group.takeovers
        await promoting.cancel()

    run_scenario(scenario)
