"""Limits over many nodes: the worst window, and what is refused below them."""

from collections.abc import Awaitable, Callable
from random import Random

import curio
import pytest

from deckdrum.load.limits import DEFAULT_TOLERANCE
from deckdrum.outcomes import Code, Fate
from deckdrum.testing.limits import LimitFleet, find_worst_window
from deckdrum.testing.nodes import CURRENT, Deployment, build_tenant, play
from deckdrum.utils.virtualtime import run_virtual
from deckdrum.workspaces import Workspace

NODES = 200
WINDOW = DEFAULT_TOLERANCE.window
#: Times of a workspace's usual, which is below its limit by 1.6, that a hot one
#: sends.
HOT = 7.5
USUAL = 1 / 1.6
GROWERS = Workspace('growers', 12, 12)
LARGE = Workspace('growers', 66, 66)
SMALL = Workspace('growers', 3, 3)

Trouble = Callable[[LimitFleet], Awaitable[None]]


def find_allowed(workspace: Workspace) -> float:
    """Return the most operations that may be begun in a window."""
    rate = workspace.rate or 0
    return (
        rate * WINDOW
        + workspace.burst
        + DEFAULT_TOLERANCE.measure(rate, workspace.burst)
    )


async def _send(
    fleet: LimitFleet,
    rate: float,
    seconds: float,
    seed: int = 7,
) -> None:
    """Have callers of all nodes begin operations at random times."""
    randomness = Random(seed)
    ends = await curio.clock() + seconds
    while await curio.clock() < ends:
        await curio.sleep(randomness.expovariate(rate))
        number = randomness.randrange(len(fleet.nodes))
        if number not in fleet.dead:
            await curio.spawn(fleet.send, number, daemon=True)
    await curio.sleep(1)


async def _cut_third(fleet: LimitFleet) -> None:
    """Cut a third of the nodes off from the others, each by itself."""
    fleet.parts = [{number} for number in range(0, NODES, 3)]
    await curio.sleep(8)
    fleet.parts = []


async def _cut_all(fleet: LimitFleet) -> None:
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


async def _kill_keepers(fleet: LimitFleet) -> None:
    """Kill the keeper of the workspace twice, and its successor beside."""
    ranked = fleet.nodes[0].counter.rank(fleet.workspace.name)
    for names in (ranked[:1], ranked[:2]):
        numbers = [int(name[1:]) for name in names]
        fleet.dead.update(numbers)
        await curio.sleep(1.2)
        for number in numbers:
            await fleet.restart(number)
        await curio.sleep(1.5)


async def _stay_calm(fleet: LimitFleet) -> None:
    await curio.sleep(8)


TROUBLES = (
    _stay_calm,
    _cut_third,
    _cut_all,
    _split_in_half,
    _kill_all,
    _kill_keepers,
)


@pytest.mark.parametrize('workspace', [SMALL, GROWERS, LARGE])
@pytest.mark.parametrize('trouble', TROUBLES)
def test_worst_window_of_a_hot_workspace_is_within_the_tolerance(
    trouble: Trouble,
    workspace: Workspace,
) -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, workspace)
        await fleet.start()
        rate = HOT * USUAL * (workspace.rate or 0)
        sending = await curio.spawn(_send, fleet, rate, 16)
        await curio.sleep(4)
        await trouble(fleet)
        await sending.join()
        worst = find_worst_window(fleet.begun, WINDOW)
        assert worst <= find_allowed(workspace)
        # A limit is no ban: what may be begun is begun.
        assert worst >= (workspace.rate or 0) * WINDOW * 0.9

    run_virtual(scenario)


@pytest.mark.parametrize('workspace', [SMALL, GROWERS, LARGE])
def test_usual_work_is_not_refused(workspace: Workspace) -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, workspace)
        await fleet.start()
        await curio.sleep(5)
        await _send(fleet, USUAL * (workspace.rate or 0), 60)
        asked = len(fleet.begun) + fleet.refused
        assert fleet.refused <= 0.02 * asked

    run_virtual(scenario)


def test_lowered_limit_binds_within_a_window() -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, LARGE)
        await fleet.start()
        sending = await curio.spawn(_send, fleet, 40, 20)
        await curio.sleep(5)
        await fleet.limit(GROWERS)
        lowered_at = await curio.clock()
        await sending.join()
        after = [time for time in fleet.begun if time > lowered_at]
        assert find_worst_window(after, WINDOW) <= find_allowed(GROWERS)

    run_virtual(scenario)


def test_refusal_of_a_limit_is_true_and_tells_when_to_come_back() -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, SMALL)
        await fleet.start()
        refusal = None
        while refusal is None:
            refusal = await fleet.send(5)
        assert refusal.code is Code.LIMIT_REACHED
        assert refusal.fate is Fate.NOT_RUN
        assert refusal.retry_after is not None
        # A third of a second until the next may begin, spread over callers.
        assert 0.1 < refusal.retry_after < 0.7

    run_virtual(scenario)


def test_node_that_reaches_no_keeper_refuses_at_once() -> None:
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


def test_limit_counts_operations_of_all_nodes_and_not_statements() -> None:
    async def scenario(deployment: Deployment) -> None:
        tenant = build_tenant('growers', 'key', ratePerS=2, burst=4)
        await deployment.configure(2, tenants=[tenant])
        await curio.sleep(3)
        words = []
        for number in range(30):
            client = await deployment.connect(CURRENT, number % 3, 'key')
            begun = await client.ask('BEGIN')
            words.append(begun.text.partition(' ')[0])
            if begun.is_done:
                for _ in range(3):
                    assert (await client.ask('READ a')).is_done
                assert (await client.ask('COMMIT')).is_done
        # A burst of four and a part of the tolerance, at once.
        assert 9 <= words.count('-') <= 12
        assert set(words) == {'-', 'TOOMANY'}
        assert len(deployment.group.ran) == 4 * words.count('-')
        await curio.sleep(2)
        assert (await client.ask('READ a')).is_done

    play(scenario)


def test_limit_of_nothing_is_refused_with_a_time_to_come_back() -> None:
    async def scenario(deployment: Deployment) -> None:
        tenant = build_tenant('growers', 'key', ratePerS=0, burst=0)
        await deployment.configure(2, tenants=[tenant])
        client = await deployment.connect(CURRENT, 0, 'key')
        for _ in range(8):
            reply = await client.ask('READ a')
        assert reply.text.startswith('TOOMANY')
        assert 'retry after' in reply.text

    play(scenario)


def test_nodes_that_know_no_others_begin_nothing() -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, LARGE)
        await fleet.limit(LARGE)
        for number in range(NODES):
            await fleet.send(number)
        assert not fleet.begun

    run_virtual(scenario)
