"""Limits across many nodes: the worst window, and refusals below the limit."""

from collections.abc import Awaitable, Callable
from random import Random

import curio
import pytest

from deckdrum.fleet.limit_messages import AskLimit, LimitAnswer, LimitRole
from deckdrum.load.rate_limits import DEFAULT_TOLERANCE
from deckdrum.outcomes import Code, Fate
from deckdrum.testing.limits import LimitFleet, find_worst_window
from deckdrum.testing.nodes import (
    CURRENT,
    Deployment,
    build_workspace,
    run_scenario,
)
from deckdrum.utils.virtualtime import run_virtual
from deckdrum.workspaces import Workspace

NODES = 200
WINDOW = DEFAULT_TOLERANCE.window
#: Rate of an overactive workspace, as a multiple of its usual rate.
OVERLOAD_FACTOR = 7.5
#: Usual rate of a workspace, as a fraction of its limit.
USUAL_FRACTION = 1 / 1.6
GROWERS = Workspace('growers', 12, 12)
LARGE = Workspace('growers', 66, 66)
SMALL = Workspace('growers', 3, 3)

Fault = Callable[[LimitFleet], Awaitable[None]]


def compute_max_operations(workspace: Workspace) -> float:
    """Return the largest permitted number of operations in a window."""
    rate = workspace.rate or 0
    return (
        rate * WINDOW
        + workspace.burst
        + DEFAULT_TOLERANCE.compute_allowed_excess(rate, workspace.burst)
    )


async def _send(
    fleet: LimitFleet,
    rate: float,
    seconds: float,
    seed: int = 7,
) -> None:
    """Begin operations at random times on random nodes."""
    randomness = Random(seed)
    ends = await curio.clock() + seconds
    while await curio.clock() < ends:
        await curio.sleep(randomness.expovariate(rate))
        number = randomness.randrange(len(fleet.nodes))
        if number not in fleet.dead:
            await curio.spawn(fleet.send, number, daemon=True)
    await curio.sleep(1)


async def _isolate_third(fleet: LimitFleet) -> None:
    """Isolate a third of the nodes, each from all others."""
    fleet.parts = [{number} for number in range(0, NODES, 3)]
    await curio.sleep(8)
    fleet.parts = []


async def _isolate_all(fleet: LimitFleet) -> None:
    fleet.parts = [{number} for number in range(NODES)]
    await curio.sleep(8)
    fleet.parts = []


async def _split_in_half(fleet: LimitFleet) -> None:
    fleet.parts = [set(range(NODES // 2))]
    await curio.sleep(8)
    fleet.parts = []


async def _kill_all(fleet: LimitFleet) -> None:
    fleet.dead = set(range(NODES))
    await curio.sleep(0.5)
    for number in range(NODES):
        await fleet.restart(number)


async def _kill_coordinators(fleet: LimitFleet) -> None:
    """Kill the coordinator, then the coordinator and its successor."""
    ranked = fleet.nodes[0].counter.rank(fleet.workspace.name)
    for names in (ranked[:1], ranked[:2]):
        numbers = [int(name[1:]) for name in names]
        fleet.dead.update(numbers)
        await curio.sleep(1.2)
        for number in numbers:
            await fleet.restart(number)
        await curio.sleep(1.5)


async def _inject_nothing(fleet: LimitFleet) -> None:
    await curio.sleep(8)


async def _refuse_third(fleet: LimitFleet) -> None:
    """Isolate a third of the nodes by cuts that refuse connections."""
    fleet.is_refusing = True
    await _isolate_third(fleet)


async def _refuse_all(fleet: LimitFleet) -> None:
    fleet.is_refusing = True
    await _isolate_all(fleet)


async def _refuse_between_halves(fleet: LimitFleet) -> None:
    fleet.is_refusing = True
    await _split_in_half(fleet)


FAULTS = (
    _inject_nothing,
    _isolate_third,
    _isolate_all,
    _split_in_half,
    _refuse_third,
    _refuse_all,
    _refuse_between_halves,
    _kill_all,
    _kill_coordinators,
)


@pytest.mark.parametrize('workspace', [SMALL, GROWERS, LARGE])
@pytest.mark.parametrize('fault', FAULTS)
def test_worst_window_under_overload_is_within_the_tolerance(
    fault: Fault,
    workspace: Workspace,
) -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, workspace)
        await fleet.start()
        rate = OVERLOAD_FACTOR * USUAL_FRACTION * (workspace.rate or 0)
        sending = await curio.spawn(_send, fleet, rate, 16)
        await curio.sleep(4)
        await fault(fleet)
        await sending.join()
        worst = find_worst_window(fleet.begun, WINDOW)
        assert worst <= compute_max_operations(workspace)
        # The workspace still gets most of its limit.
        assert worst >= (workspace.rate or 0) * WINDOW * 0.9

    run_virtual(scenario)


@pytest.mark.parametrize('workspace', [SMALL, GROWERS, LARGE])
def test_usual_load_is_rarely_refused(workspace: Workspace) -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, workspace)
        await fleet.start()
        await curio.sleep(5)
        await _send(fleet, USUAL_FRACTION * (workspace.rate or 0), 60)
        asked = len(fleet.begun) + fleet.refused
        assert fleet.refused <= 0.02 * asked

    run_virtual(scenario)


def test_lowered_limit_holds_in_each_later_window() -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, LARGE)
        await fleet.start()
        sending = await curio.spawn(_send, fleet, 40, 20)
        await curio.sleep(5)
        await fleet.limit(GROWERS)
        lowered_at = await curio.clock()
        await sending.join()
        after = [time for time in fleet.begun if time > lowered_at]
        assert find_worst_window(after, WINDOW) <= compute_max_operations(
            GROWERS
        )

    run_virtual(scenario)


def test_deputy_counts_for_a_coordinator_that_answers_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next node became its successor, which admits the whole limit anew.

    The coordinator had answered between the failed request and the choice.
    """

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS)
        await fleet.start()
        ranked = fleet.nodes[0].counter.rank(fleet.workspace.name)
        coordinator, deputy, asking, *_ = (int(name[1:]) for name in ranked)
        health = fleet.nodes[asking].peers.health
        # It answers a heartbeat at once, so it never counts as unresponsive.
        monkeypatch.setattr(health, 'record_failure', _forget_failure)
        fleet.is_refusing = True
        fleet.broken_links = {(asking, coordinator)}
        roles = []
        answer = fleet.nodes[deputy].counter.answer

        async def note_role(request: AskLimit) -> LimitAnswer:
            roles.append(request.asked_as)
            return await answer(request)

        monkeypatch.setattr(fleet.nodes[deputy].counter, 'answer', note_role)
        await fleet.send(asking)
        assert roles == [LimitRole.DEPUTY]

    run_virtual(scenario)


async def _forget_failure(*_: object) -> None:
    """Record nothing."""


def test_refusal_reports_that_nothing_ran_and_when_to_retry() -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, SMALL)
        await fleet.start()
        refusal = None
        while refusal is None:
            refusal = await fleet.send(5)
        assert refusal.code is Code.LIMIT_REACHED
        assert refusal.fate is Fate.NOT_RUN
        assert refusal.retry_after is not None
        # The next operation may begin after 1/3 s; retries are spread out.
        assert 0.1 < refusal.retry_after < 0.7

    run_virtual(scenario)


def test_node_that_reaches_no_coordinator_refuses_at_once() -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS)
        await fleet.start()
        fleet.parts = [{5}]
        for _ in range(5):
            await fleet.send(5)
        began = await curio.clock()
        refusal = await fleet.send(5)
        assert refusal is not None
        assert refusal.code is Code.LIMIT_UNKNOWN
        assert refusal.fate is Fate.NOT_RUN
        assert await curio.clock() - began < 0.01

    run_virtual(scenario)


def test_limit_counts_transactions_of_all_nodes_and_not_statements() -> None:
    async def scenario(deployment: Deployment) -> None:
        tenant = build_workspace('growers', 'key', ratePerS=2, burst=4)
        await deployment.configure(2, tenants=[tenant])
        await curio.sleep(3)
        codes = []
        for number in range(30):
            client = await deployment.connect(CURRENT, number % 3, 'key')
            begun = await client.ask('BEGIN')
            codes.append(begun.text.partition(' ')[0])
            if begun.is_done:
                for _ in range(3):
                    assert (await client.ask('READ a')).is_done
                assert (await client.ask('COMMIT')).is_done
        # A burst of four, plus a part of the tolerance.
        assert 9 <= codes.count('-') <= 12
        assert set(codes) == {'-', 'TOOMANY'}
        assert len(deployment.group.executed_statements) == 4 * codes.count('-')
        await curio.sleep(2)
        assert (await client.ask('READ a')).is_done

    run_scenario(scenario)


def test_refusal_with_a_limit_of_zero_tells_when_to_retry() -> None:
    async def scenario(deployment: Deployment) -> None:
        tenant = build_workspace('growers', 'key', ratePerS=0, burst=0)
        await deployment.configure(2, tenants=[tenant])
        client = await deployment.connect(CURRENT, 0, 'key')
        for _ in range(8):
            reply = await client.ask('READ a')
        assert reply.text.startswith('TOOMANY')
        assert 'retry after' in reply.text

    run_scenario(scenario)


def test_nodes_without_known_members_begin_no_operations() -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, LARGE)
        await fleet.limit(LARGE)
        for number in range(NODES):
            await fleet.send(number)
        assert not fleet.begun

    run_virtual(scenario)


@pytest.mark.parametrize('is_urgent', [True, False])
def test_priority_has_effect_only_with_urgent_routes(is_urgent: bool) -> None:
    """A fleet without a route of priority 0 must decide as before."""

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=is_urgent)
        await fleet.start()
        await curio.sleep(5)
        for _ in range(30):
            await fleet.send(5, priority=2)
        refused = fleet.refused
        await fleet.send(5, priority=0)
        assert (fleet.refused == refused) is is_urgent

    run_virtual(scenario)
