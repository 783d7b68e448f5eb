"""Which nodes hold shares of a limit, and from when on they use them."""

import json
from io import StringIO
from typing import Final

import curio
import pytest

from deckdrum.fleet.limit_messages import AskLimit, LimitAnswer, LimitRole
from deckdrum.load.limit_shares import LEASE_S
from deckdrum.load.rate_limits import DEFAULT_TOLERANCE
from deckdrum.testing.limits import LimitFleet
from deckdrum.testing.nodes import (
    CURRENT,
    Deployment,
    build_route,
    build_workspace,
    run_scenario,
)
from deckdrum.utils.virtualtime import run_virtual
from deckdrum.workspaces import Workspace

#: Three data centres of eight nodes, and a panel of six.
NODES: Final = 24
GROWERS: Final = Workspace('growers', 40, 40)


def _list_panel(fleet: LimitFleet) -> list[int]:
    return [
        int(name[1:])
        for name in fleet.nodes[0].counter.rank(fleet.workspace.name)
    ]


@pytest.mark.parametrize(
    ('has_urgent_routes', 'is_one_earlier', 'is_active'),
    [(True, False, True), (True, True, False), (False, False, False)],
)
def test_shares_are_active_only_if_all_coordinators_know_them(
    has_urgent_routes: bool, is_one_earlier: bool, is_active: bool
) -> None:
    """One that counts alone would admit the limit beside the shares."""

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=has_urgent_routes)
        if is_one_earlier:
            fleet.capacities[3] = 0
        await fleet.start()
        await curio.sleep(2)
        assert 3 in _list_panel(fleet)
        asked = any(node.shares.held_fraction for node in fleet.nodes)
        assert asked is is_active
        for _ in range(9):
            await fleet.send(5)
        assert len(fleet.begun) == 9

    run_virtual(scenario)


def test_coordinator_outside_the_panel_asks_a_member() -> None:
    """Nodes of an earlier version rank all coordinators, not one panel."""

    async def scenario() -> None:
        # Nine coordinators, and panels of six.
        fleet = LimitFleet(216, GROWERS, has_urgent_routes=True)
        await fleet.start()
        await curio.sleep(2)
        panel = _list_panel(fleet)
        assert len(panel) == 6
        outside = next(
            node
            for number, node in enumerate(fleet.nodes)
            if node.shares.held_fraction and number not in panel
        )
        question = AskLimit('growers', LimitRole.COORDINATOR, 1)
        answer = await outside.answer(question)
        assert answer == LimitAnswer(is_kept=True, wait=0)

    run_virtual(scenario)


def test_restarted_member_waits_before_it_uses_its_own_share() -> None:
    """Its former process may have lent it a moment before."""

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=True)
        await fleet.start()
        await curio.sleep(2)
        first = _list_panel(fleet)[0]
        await fleet.restart(first)
        restarted_at = await curio.clock()
        node = fleet.nodes[first]
        ranked = node.counter.rank('growers')
        assert not node.shares.list_usable(ranked, restarted_at + LEASE_S - 0.1)
        assert node.shares.list_usable(ranked, restarted_at + LEASE_S)

    run_virtual(scenario)


def test_member_that_leaves_its_panel_answers_a_pending_request() -> None:
    """Its place in the panel was looked up again after the relay had failed."""

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=True)
        await fleet.start()
        await curio.sleep(2)
        first, second = _list_panel(fleet)[:2]
        fleet.broken_links.add((second, first))
        node = fleet.nodes[second]
        asking = await curio.spawn(
            node.answer, AskLimit('growers', LimitRole.DEPUTY)
        )
        await curio.sleep(0.01)
        fleet.absent = {second}
        await fleet.register_members(node)
        assert isinstance(await asking.join(), LimitAnswer)

    run_virtual(scenario)


def test_nodes_exchange_shares_over_their_connections() -> None:
    """Shares are lent by messages, and show in logs and metrics."""

    async def scenario(deployment: Deployment) -> None:
        routes = [build_route(CURRENT, 'primary', priority=0)]
        tenant = build_workspace('growers', 'key', ratePerS=20, burst=20)
        await deployment.configure(2, routes=routes, tenants=[tenant])
        await curio.sleep(2)
        nodes = [running.node for running in deployment.nodes]
        for node in nodes:
            assert node.counters.gauges['limit_share']() == 1
            assert node.counters.gauges['limit_shares_lent']() == 2
        for number in range(9):
            client = await deployment.connect(CURRENT, number % 3, 'key')
            assert (await client.ask('READ a')).is_done
        answer_request = nodes[2].peers.answer_request
        nodes[2].peers.answer_request = None
        await curio.sleep(1)
        assert nodes[0].counters.gauges['limit_share']() == pytest.approx(2 / 3)
        nodes[2].peers.answer_request = answer_request
        await curio.sleep(1)
        events = [
            json.loads(line)
            for line in log.getvalue().splitlines()
            if 'limit.share' in line
        ]
        assert [event['event'] for event in events] == [
            'limit.share_lost',
            'limit.share_regained',
        ]
        assert events[0]['lender'] == nodes[2].settings.name

    log = StringIO()
    run_scenario(scenario, capacities=(1, 1, 1), logs=[log])


@pytest.mark.parametrize('has_urgent_routes', [True, False])
def test_operations_that_ran_nowhere_do_not_use_up_the_limit(
    has_urgent_routes: bool,
) -> None:
    """Retries during a failover left nothing of the limit for other groups."""

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=has_urgent_routes)
        await fleet.start()
        await curio.sleep(2)
        client = fleet.nodes[-1].limit_client
        refusals = []
        for _ in range(200):
            refusals.append(await client.try_begin(GROWERS))
            await client.return_token(GROWERS)
        assert any(refusals) is not has_urgent_routes
        # Nothing was gained either: the burst is as before.
        for _ in range(200):
            await fleet.send(NODES - 1)
        allowed = DEFAULT_TOLERANCE.compute_allowed_excess(40, 40) / 4
        assert len(fleet.begun) <= 40 + allowed + 40 * 0.6

    run_virtual(scenario)


def test_limit_is_usable_at_once_after_a_restart_of_all_nodes() -> None:
    """Each member waited for the lease of the one that had asked first."""

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=True)
        await fleet.start()
        await curio.sleep(2)
        fleet.dead.update(range(NODES))
        await curio.sleep(1)
        for number in range(NODES):
            await fleet.restart(number)
        await curio.sleep(0.1)
        first = fleet.nodes[_list_panel(fleet)[0]]
        ranked = first.counter.rank('growers')
        usable = first.shares.list_usable(ranked, await curio.clock())
        assert len(usable) == len(ranked) - 1
        await curio.sleep(LEASE_S)
        usable = first.shares.list_usable(ranked, await curio.clock())
        assert len(usable) == len(ranked)

    run_virtual(scenario)
