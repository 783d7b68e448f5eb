"""Fair sharing of connections between groups, in virtual time."""

from collections import Counter

import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.members import FairQueue, GroupShare, Permit
from deckdrum.outcomes import Code, Refusal
from deckdrum.utils.virtualtime import run_virtual

SHARES = {'growers': GroupShare(2), 'shoppers': GroupShare(1, 5)}


async def use_connection(
    queue: FairQueue, group: str, seconds: float, done: Counter[str]
) -> None:
    permit = await queue.acquire(group, 1000)
    if isinstance(permit, Permit):
        await curio.sleep(seconds)
        done[group] += 1
        await queue.release(permit)


async def send_requests(
    queue: FairQueue, group: str, number: int, done: Counter[str]
) -> None:
    while True:
        await use_connection(queue, group, 0.1, done)


def test_connections_follow_weights_under_load() -> None:
    async def main() -> Counter[str]:
        queue = FairQueue(6, {'a': GroupShare(2), 'b': GroupShare(1)})
        done: Counter[str] = Counter()
        tasks = [
            await curio.spawn(send_requests, queue, group, number, done)
            for group in ('a', 'b')
            for number in range(20)
        ]
        await curio.sleep(10)
        for task in tasks:
            await task.cancel()
        return done

    done = run_virtual(main)
    assert 1.8 < done['a'] / done['b'] < 2.2
    assert done['a'] + done['b'] >= 6 * 98


def test_single_group_uses_all_connections() -> None:
    async def main() -> int:
        queue = FairQueue(4, SHARES)
        for _ in range(4):
            await queue.acquire('shoppers', 1)
        return queue.count_held('shoppers')

    assert run_virtual(main) == 4


def test_group_without_connections_gets_the_next_one() -> None:
    async def main() -> str:
        queue = FairQueue(1, SHARES)
        held = await queue.acquire('shoppers', 1)
        order: list[str] = []

        async def wait(group: str) -> None:
            permit = await queue.acquire(group, 10)
            order.append(group)
            assert isinstance(permit, Permit)
            await queue.release(permit)

        tasks = [await curio.spawn(wait, 'shoppers') for _ in range(3)]
        tasks.append(await curio.spawn(wait, 'growers'))
        await curio.sleep(1)
        assert isinstance(held, Permit)
        await queue.release(held)
        for task in tasks:
            await task.join()
        return order[0]

    assert run_virtual(main) == 'growers'


def test_full_and_late_requests_are_refused() -> None:
    async def main() -> tuple[object, object]:
        queue = FairQueue(1, SHARES)
        await queue.acquire('growers', 1)
        waiting = [
            await curio.spawn(queue.acquire, 'shoppers', 2) for _ in range(5)
        ]
        await curio.sleep(0.1)
        full = await queue.acquire('shoppers', 2)
        late = await waiting[0].join()
        return full, late

    full, late = run_virtual(main)
    assert isinstance(full, Refusal) and full.code is Code.QUEUE_FULL
    assert isinstance(late, Refusal) and late.code is Code.QUEUE_TIMEOUT


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['a', 'b', 'c']),
            st.floats(0, 0.3),
            st.floats(0, 0.3),
        ),
        max_size=30,
    ),
    st.integers(1, 4),
)
def test_connections_never_exceed_slots_and_are_all_returned(
    requests: list[tuple[str, float, float]],
    slots: int,
) -> None:
    async def main() -> None:
        queue = FairQueue(slots, {})

        async def run(group: str, start: float, hold: float) -> None:
            await curio.sleep(start)
            permit = await queue.acquire(group, 0.2)
            assert queue.held <= slots
            await curio.sleep(hold)
            if isinstance(permit, Permit):
                await queue.release(permit)

        async with curio.TaskGroup() as tasks:
            for each in requests:
                await tasks.spawn(run, *each)
        assert (queue.held, queue.waiting) == (0, 0)

    run_virtual(main)
