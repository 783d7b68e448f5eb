"""Replays of overload on a queue with priorities, in virtual time."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import curio
import pytest

from deckdrum.members import FairQueue, GroupShare, Permit
from deckdrum.outcomes import Code, Refusal
from deckdrum.utils.virtualtime import run_virtual

CONNECTIONS = 4
#: Longest wait in the queue.
TIMEOUT_S = 0.3
SECONDS = 5


@dataclass(frozen=True, slots=True)
class Class:
    """A class of callers: its priority, weight, load and objective.

    `load` is a fraction of what the connections can do.  The first word of
    `name` is the group in the queue.
    """

    name: str
    priority: int
    weight: float
    work: float
    objective: float
    load: float
    owner: str = ''

    @property
    def group(self) -> str:
        """Group of its requests in the queue."""
        return self.name.partition(' ')[0]


def build_classes(*loads: float) -> list[Class]:
    """Return the three classes of the first deployment."""
    urgent, usual, background = loads
    return [
        Class('urgent', 0, 4, 0.003, 0.1, urgent),
        Class('usual', 1, 2, 0.009, 0.2, usual),
        Class('background', 2, 1, 0.015, 0.6, background),
    ]


#: Any order leaves these classes in time.
CALM = build_classes(0.03, 0.4, 0.2)
#: The primary serves all reads, and there is 2.6 times the background work.
BURST = build_classes(0.04, 0.44, 0.73)
#: A workspace sends more urgent statements than the connections can run.
SURGE = build_classes(1.3, 0.44, 0.27)
#: Requests granted and rejected, and the sum of waits, of these loads with seed
#: 1 and shares by weight, measured before the queue knew priorities.
WITHOUT_PRIORITIES = [
    (1191, 235, 120.409),
    (1223, 1111, 276.151),
    (4336, 5785, 583.092),
]


@dataclass(slots=True)
class Replay:
    """Outcomes by class: asked, in time, late, rejected and displaced."""

    queue: FairQueue
    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    #: Sum of all waits, in seconds.
    waited: float = 0

    async def send(self, kind: Class, seed: int) -> None:
        """Send the statements of a class at random times."""
        randomness = Random(f'{kind.name} {seed}')
        rate = kind.load * self.queue.slots / kind.work
        async with curio.TaskGroup() as tasks:
            while await curio.clock() < SECONDS:
                await curio.sleep(randomness.expovariate(rate))
                await tasks.spawn(self._run, kind)

    def get_share_in_time(self, name: str) -> float:
        """Return the fraction of a class's statements that were in time."""
        return self.counts[name, 'in time'] / self.counts[name, 'asked']

    async def _run(self, kind: Class) -> None:
        self.counts[kind.name, 'asked'] += 1
        began = await curio.clock()
        permit = await self.queue.acquire(
            kind.group, TIMEOUT_S, kind.objective - kind.work, kind.owner
        )
        self.waited += await curio.clock() - began
        if isinstance(permit, Refusal):
            self.counts[kind.name, 'rejected'] += 1
            return
        await curio.sleep(kind.work)
        await self.queue.release(permit)
        is_late = await curio.clock() - began > kind.objective
        self.counts[kind.name, 'late' if is_late else 'in time'] += 1


def replay(
    classes: list[Class], seed: int, *, has_priorities: bool = True
) -> Replay:
    """Replay a load and return its outcome."""

    async def run() -> Replay:
        shares = {
            kind.group: GroupShare(
                kind.weight, 64, kind.priority if has_priorities else None
            )
            for kind in classes
        }
        load = Replay(FairQueue(CONNECTIONS, shares))
        async with curio.TaskGroup() as tasks:
            for kind in classes:
                await tasks.spawn(load.send, kind, seed)
        return load

    outcome: Replay = run_virtual(run)
    return outcome


@pytest.mark.parametrize('seed', range(3))
def test_background_burst_leaves_others_in_time(seed: int) -> None:
    """Guards against background reads ahead of urgent ones at a primary."""
    load = replay(BURST, seed)
    assert load.get_share_in_time('urgent') == 1
    assert load.get_share_in_time('usual') >= 0.97
    background = load.counts['background', 'in time']
    assert background * 0.015 >= SECONDS * CONNECTIONS / 8
    by_weight = replay(BURST, seed, has_priorities=False)
    assert by_weight.get_share_in_time('usual') < 0.75


@pytest.mark.parametrize('seed', range(3))
def test_surge_of_urgent_work_leaves_an_eighth_to_others(seed: int) -> None:
    """Guards against starvation: the others' connections are one in eight."""
    load = replay(SURGE, seed)
    granted = load.queue.granted_count
    others = sum(
        load.counts[name, end]
        for name in ('usual', 'background')
        for end in ('in time', 'late')
    )
    assert granted / 9 <= others <= granted / 7
    # Both less urgent classes take part.
    assert load.counts['background', 'in time'] >= others / 3
    assert load.counts['usual', 'in time'] >= others / 3
    by_weight = replay(SURGE, seed, has_priorities=False)
    urgent = load.counts['urgent', 'in time']
    assert urgent > 1.15 * by_weight.counts['urgent', 'in time']


@pytest.mark.parametrize('seed', range(3))
def test_urgent_surge_of_a_workspace_does_not_delay_others(seed: int) -> None:
    """Guards against urgency that cancels the turns of workspaces."""
    hot = Class('urgent hot', 0, 4, 0.003, 0.1, 1.3, 'hot')
    load = replay([*BURST, hot], seed)
    assert load.get_share_in_time('urgent') >= 0.98
    # The less urgent classes keep an eighth, by number of connections.
    others = sum(
        load.counts[name, 'in time'] for name in ('usual', 'background')
    )
    assert others >= load.queue.granted_count / 9


def test_calm_load_is_in_time() -> None:
    """Guards against connections that stay reserved while others wait."""
    load = replay(CALM, 1)
    for kind in CALM:
        assert load.get_share_in_time(kind.name) == 1


def test_order_without_priorities_is_unchanged() -> None:
    """Compares with figures of the version before priorities."""
    figures = []
    for classes in (CALM, BURST, SURGE):
        load = replay(classes, 1, has_priorities=False)
        figures.append(
            (
                load.queue.granted_count,
                load.queue.rejected,
                round(load.waited, 3),
            )
        )
        assert not load.queue.turned_away
        assert not load.queue.count_waiting()
    assert figures == WITHOUT_PRIORITIES


SHARES = {
    kind.name: GroupShare(kind.weight, 64, kind.priority) for kind in CALM
}


async def _take(queue: FairQueue, group: str) -> Permit:
    """Take a free connection."""
    permit = await queue.acquire(group, 1)
    assert isinstance(permit, Permit)
    return permit


async def _build_queue_with_hold_time(seconds: float) -> FairQueue:
    """Return a queue of one connection with a known mean hold time."""
    queue = FairQueue(1, SHARES)
    for _ in range(100):
        permit = await _take(queue, 'urgent')
        await curio.sleep(seconds)
        await queue.release(permit)
    return queue


def test_urgent_request_displaces_only_what_is_late_behind_it() -> None:
    async def main() -> tuple[list[str], list[Refusal], FairQueue]:
        queue = await _build_queue_with_hold_time(0.1)
        held = await _take(queue, 'usual')
        order: list[str] = []
        refusals = []

        async def wait(name: str, group: str, patience: float) -> None:
            permit = await queue.acquire(group, 10, patience)
            if isinstance(permit, Refusal):
                assert not order, 'rejected only after a grant'
                refusals.append(permit)
                return
            order.append(name)
            await curio.sleep(0.1)
            await queue.release(permit)

        async with curio.TaskGroup() as tasks:
            for name, group, patience in (
                ('usual 1', 'usual', 0.15),
                ('usual 2', 'usual', 0.15),
                ('background 1', 'background', 0.25),
                ('background 2', 'background', 5),
                ('background 3', 'background', 0.35),
            ):
                await tasks.spawn(wait, name, group, patience)
                await curio.sleep(0)
            await tasks.spawn(wait, 'urgent', 'urgent', 0.15)
            await curio.sleep(0.01)
            await queue.release(held)
        return order, refusals, queue

    order, refusals, queue = run_virtual(main)
    assert order == ['urgent', 'usual 1', 'background 1', 'background 2']
    assert len(refusals) == 2
    for refusal in refusals:
        assert refusal.code is Code.QUEUE_TIMEOUT
        assert 'more urgent' in refusal.text
        assert refusal.retry_after is not None
    assert queue.turned_away == {(1, 'displaced'): 1, (2, 'displaced'): 1}
    assert (queue.held, queue.waiting) == (0, 0)


def test_losing_priorities_keeps_waiting_requests() -> None:
    """The configuration loses its urgent route while statements wait."""

    async def main() -> list[str]:
        queue = FairQueue(1, SHARES)
        held = await _take(queue, 'urgent')
        order: list[str] = []

        async def wait(group: str) -> None:
            permit = await queue.acquire(group, 10)
            assert isinstance(permit, Permit)
            order.append(group)
            await curio.sleep(0.01)
            await queue.release(permit)

        async with curio.TaskGroup() as tasks:
            for _ in range(4):
                await tasks.spawn(wait, 'background')
                await tasks.spawn(wait, 'usual')
            await curio.sleep(0.01)
            assert queue.count_waiting() == Counter({1: 4, 2: 4})
            shares = {name: GroupShare(1, 64) for name in SHARES}
            await queue.resize(1, shares)
            assert not queue.count_waiting()
            await queue.release(held)
        return order

    order = run_virtual(main)
    assert len(order) == 8
    # Equal weights: the groups take turns again.
    assert set(order[:2]) == {'usual', 'background'}


def test_loans_and_commands_have_the_priority_of_their_purpose() -> None:
    """Guards against a lent connection that waits behind background work."""

    async def main() -> list[str]:
        queue = FairQueue(1, SHARES)
        held = await _take(queue, 'usual')
        order: list[str] = []

        async def wait(group: str) -> None:
            permit = await queue.acquire(group, 10)
            assert isinstance(permit, Permit)
            order.append(group)
            await queue.release(permit)

        async with curio.TaskGroup() as tasks:
            for group in ('background', 'loan:background', 'loan:unknown'):
                await tasks.spawn(wait, group)
            for group in ('loan:urgent', ''):
                await tasks.spawn(wait, group)
            await curio.sleep(0.01)
            await queue.release(held)
        return order

    order = run_virtual(main)
    assert set(order[:2]) == {'loan:urgent', ''}
    assert order[2] == 'loan:unknown'


def test_less_urgent_request_does_not_overtake() -> None:
    """Guards against a connection that becomes free for the next request.

    The reservation for urgent requests expires at 1 s, between two checks of
    the usual request that waits for it.
    """

    async def main() -> tuple[Permit | Refusal, Permit | Refusal]:
        queue = FairQueue(4, SHARES)
        await queue.release(await _take(queue, 'urgent'))
        for _ in range(3):
            await _take(queue, 'usual')
        await curio.sleep(0.9)
        usual = await curio.spawn(queue.acquire, 'usual', 1)
        await curio.sleep(0.15)
        assert queue.waiting == 1
        background = await queue.acquire('background', 0.1)
        return await usual.join(), background

    usual, background = run_virtual(main)
    assert isinstance(usual, Permit)
    assert isinstance(background, Refusal)
