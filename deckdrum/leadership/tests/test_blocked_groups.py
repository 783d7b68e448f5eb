"""Groups that the rules for unseen promotions must neither block nor split."""

import math
from typing import Any

import curio
import pytest

from deckdrum.leadership.context import LeadershipClaim, PrimaryChangeReport
from deckdrum.leadership.peer_observation import Leader
from deckdrum.leadership.primary_change import PrimaryChanger
from deckdrum.leadership.promotion_client import PromotionRequest
from deckdrum.leadership.record_store import CLAIM_TAKEOVER_DELAY_S
from deckdrum.platform.promotion_client import PlatformPromotionClient
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.nodes import CURRENT, SERVICE
from deckdrum.testing.replaced_primaries import (
    Writer,
    find_disordered_promotions,
    find_replaced_primary_writes,
)

_FORMER = f'i-{SERVICE}-1'
_PROMOTED = f'i-{SERVICE}-2'
_OTHER = f'i-{SERVICE}-3'
#: Several takeovers of an unfinished claim.
_OBSERVATION_TIME_S = 4 * CLAIM_TAKEOVER_DELAY_S
#: Less than a replaced primary continues beside its successor.
_SHORT_TIME_S = 0.1


def _build_claim(**fields: Any) -> dict[str, Any]:
    """Return the claim of term 2 by a node that is gone."""
    defaults = {
        'service': SERVICE,
        'term': 2,
        'primary': '',
        'phase': Phase.FENCING.value,
        'operation': 'of a dead node',
        'driver': 'n9',
        'former': _FORMER,
        'former_term': 1,
    }
    return defaults | fields


async def _write_record(deployment: LinkedDeployment, **fields: Any) -> None:
    await deployment.store.write(
        'deckdrum-leadership', SERVICE, _build_claim(**fields)
    )


async def _require_synchronous_replica(deployment: LinkedDeployment) -> None:
    services = [{'name': SERVICE, 'maxConns': 23, 'syncReplicas': 1}]
    await deployment.configure(2, services=services)
    await curio.sleep(0.5)


async def _promote(deployment: LinkedDeployment, server: str) -> None:
    """Promote a server, as the order of a driver that is gone."""
    client = PlatformPromotionClient(deployment.group.promotion_address)
    request = PromotionRequest(SERVICE, server, 'n9', 1, math.inf)
    await client.promote(request, 1)


@pytest.mark.parametrize('driver', ['n0', 'n9'])
def test_driver_that_cannot_fence_leaves_its_claim_to_another(
    driver: str,
) -> None:
    """It claims again at once, so that no claim gets old enough for others."""

    async def scenario(deployment: LinkedDeployment) -> None:
        await _require_synchronous_replica(deployment)
        await deployment.cut_link(0, _PROMOTED)
        await deployment.group.servers[_FORMER].crash()
        await _write_record(deployment, driver=driver)
        await curio.sleep(_OBSERVATION_TIME_S)
        record = deployment.store.read('deckdrum-leadership', SERVICE)
        assert (record['phase'], record['term']) == (Phase.SETTLED.value, 2)

    run_linked_scenario(scenario, synchronous_replicas=1)


@pytest.mark.parametrize('term', [1, 2])
def test_fence_above_the_promoted_term_is_released_without_its_driver(
    term: int,
) -> None:
    """A replica that stays fenced blocks the writes of a synchronous group."""

    async def scenario(deployment: LinkedDeployment) -> None:
        await _require_synchronous_replica(deployment)
        group = deployment.group
        await _write_record(deployment, term=term)
        await group.servers[_FORMER].crash()
        await deployment.wait_for(lambda: bool(group.promotions), 20)
        server, driver, _ = group.promotions[0]
        fenced = next(
            each
            for each in group.servers.values()
            if each.name not in {_FORMER, server}
        )
        number = int(driver.removeprefix('n'))
        await deployment.cut_link(number, fenced.name)
        user = (number + 1) % 3
        await curio.spawn(Writer(deployment, user).run, daemon=True)
        await curio.sleep(_OBSERVATION_TIME_S)
        client = await deployment.connect(CURRENT, user)
        reply = await client.ask('WRITE a 1')
        assert fenced.fenced_term == 0
        assert reply.is_done

    run_linked_scenario(scenario, synchronous_replicas=1)


def test_takeover_does_not_resume_while_the_promoted_server_is_unlisted() -> (
    None
):
    """Its entry has lapsed while it is down; it returns as the primary."""

    async def scenario(deployment: LinkedDeployment) -> None:
        group = deployment.group
        writers = [Writer(deployment, number) for number in range(3)]
        for writer in writers:
            await curio.spawn(writer.run, daemon=True)
        await curio.sleep(0.5)
        promoted = group.servers[_PROMOTED]
        other = group.servers[_OTHER]
        await _write_record(deployment)
        await curio.sleep(0.1)
        other.is_replication_blocked = True
        other.fenced_term = 2
        for number in range(3):
            await deployment.cut_link(number, _PROMOTED)
        await _promote(deployment, _PROMOTED)
        await deployment.wait_for(lambda: bool(group.takeovers))
        await promoted.crash()
        promoted.is_listed = False
        await deployment.store.delete('servers', _PROMOTED)
        await other.restart_empty()
        await curio.sleep(_OBSERVATION_TIME_S)
        acknowledged: dict[str, float] = {}
        for writer in writers:
            acknowledged |= writer.acknowledged
        found = find_replaced_primary_writes(group, acknowledged)
        assert not found

    run_linked_scenario(scenario)


def test_takeover_does_not_settle_while_a_later_primary_is_unlisted() -> None:
    """Two orders took effect unseen; the entry of the second has lapsed."""

    async def scenario(deployment: LinkedDeployment) -> None:
        group = deployment.group
        writers = [Writer(deployment, number) for number in range(3)]
        for writer in writers:
            await curio.spawn(writer.run, daemon=True)
        await curio.sleep(0.5)
        await _write_record(deployment, term=3)
        await curio.sleep(0.1)
        await group.servers[_FORMER].crash()
        for name in (_PROMOTED, _OTHER):
            await _promote(deployment, name)
            await curio.sleep(group.promotion_time + _SHORT_TIME_S)
        assert len(group.takeovers) == 2
        last = group.servers[_OTHER]
        await last.crash()
        last.is_listed = False
        await deployment.store.delete('servers', _OTHER)
        await curio.sleep(_OBSERVATION_TIME_S)
        acknowledged: dict[str, float] = {}
        for writer in writers:
            acknowledged |= writer.acknowledged
        assert not find_replaced_primary_writes(group, acknowledged)

    run_linked_scenario(scenario)


def test_refused_repetition_of_an_order_that_no_node_sees_ends_the_claim() -> (
    None
):
    """The order before it may have taken effect; no peer tells."""

    async def scenario(deployment: LinkedDeployment) -> None:
        group = deployment.group
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        group.unanswered_promotions = 1
        group.primary.is_unresponsive = True
        writing = await curio.spawn(client.write_until_done, daemon=True)
        await deployment.wait_for(lambda: bool(group.promotions), 10)
        ordered = group.promotions[0][0]
        for number in range(3):
            await deployment.cut_link(number, ordered)
        await deployment.wait_for(lambda: bool(group.takeovers))
        await group.servers[ordered].crash()
        await curio.sleep(_OBSERVATION_TIME_S)
        await writing.cancel()
        assert len({each[0] for each in group.promotions}) == 2
        assert not find_disordered_promotions(group.promotions)

    run_linked_scenario(scenario)


def test_driver_does_not_reopen_a_term_that_a_later_claim_has_ended() -> None:
    """Its copy of the record is old; the later claim counts on its answer."""

    async def scenario(deployment: LinkedDeployment) -> None:
        node = deployment.nodes[0].node
        runtime = node.services[SERVICE]
        state = runtime.leadership_state
        await _write_record(deployment, driver='n0')
        await curio.sleep(0.05)
        known = node.view.get_leadership(SERVICE)
        assert known is not None
        assert isinstance(known[1], GroupRecord)
        claim = LeadershipClaim(known[1], known[0], await curio.clock())
        # The question of the driver of the later claim, which n0 confirms.
        await runtime.close_term(2, False, known[0] + 10)
        changer = PrimaryChanger(runtime, node.tools)
        report = PrimaryChangeReport(SERVICE, _FORMER, 'test', False)
        await changer._finish(report, claim, Leader(_PROMOTED, 2))
        assert not state.has_primary
        assert state.closed_term == 2

    run_linked_scenario(scenario)


def test_driver_settles_with_the_later_primary_that_a_peer_uses() -> None:
    """It has decided before the primary took over, and does not reach it."""

    async def scenario(deployment: LinkedDeployment) -> None:
        group = deployment.group
        other = group.servers[_OTHER]
        other.is_replication_blocked = True
        other.fenced_term = 2
        await deployment.cut_link(0, _PROMOTED)
        await _promote(deployment, _PROMOTED)
        await deployment.wait_for(lambda: bool(group.takeovers))
        await group.servers[_FORMER].crash()
        user = deployment.nodes[1].node.services[SERVICE]
        await user.query_server(user.servers[_PROMOTED])
        assert user.leadership_state.primary == _PROMOTED
        node = deployment.nodes[0].node
        changer = PrimaryChanger(node.services[SERVICE], node.tools)
        report = PrimaryChangeReport(SERVICE, _FORMER, 'test', False)
        assert await changer.run(report)
        assert [each.server for each in group.takeovers] == [_PROMOTED]
        record = deployment.store.read('deckdrum-leadership', SERVICE)
        assert (record['term'], record['primary']) == (2, _PROMOTED)

    run_linked_scenario(scenario)


def test_primary_of_an_ended_term_does_not_veto_its_replacement() -> None:
    """A replica follows a later term, whose primary is gone for good."""

    async def scenario(deployment: LinkedDeployment) -> None:
        group = deployment.group
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        for number in range(3):
            await deployment.cut_link(number, _PROMOTED)
        await _promote(deployment, _PROMOTED)
        await deployment.wait_for(lambda: bool(group.takeovers))
        await curio.sleep(0.1)
        await group.servers[_PROMOTED].crash()
        await curio.sleep(1)
        gap = await client.write_until_done(15)
        assert gap < 10

    run_linked_scenario(scenario)


def test_claim_orders_no_other_server_after_an_unconfirmed_leader() -> None:
    """The server that was found leading is ordered again, and then lost."""

    async def scenario(deployment: LinkedDeployment) -> None:
        group = deployment.group
        other = group.servers[_OTHER]
        await _write_record(deployment, term=3)
        await curio.sleep(0.1)
        await group.servers[_FORMER].crash()
        other.is_replication_blocked = True
        other.fenced_term = 2
        await _promote(deployment, _PROMOTED)
        await deployment.wait_for(lambda: len(group.promotions) > 1, 20)
        assert group.promotions[1][0] == _PROMOTED
        await group.servers[_PROMOTED].crash()
        await curio.sleep(_OBSERVATION_TIME_S)
        assert {each[0] for each in group.promotions} == {_PROMOTED, _OTHER}
        assert not find_disordered_promotions(group.promotions)

    run_linked_scenario(scenario)
