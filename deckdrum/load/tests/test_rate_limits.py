"""Replay of a workspace that sends several times its limit, by priority."""

from collections import Counter
from random import Random
from typing import Final

import pytest

from deckdrum.load.rate_limits import TokenBucket, compute_reserve

SECONDS: Final = 60
#: Classes by priority: fraction of the load.
CLASSES: Final = (0.13, 0.63, 0.24)
_SEED: Final = 7


def _replay(
    rate: float,
    burst: float,
    loads: tuple[float, ...],
) -> tuple[Counter[int], Counter[int]]:
    """Return the admitted and all operations by priority, after 5 s.

    `loads` has the operations per second of each priority.
    """
    bucket = TokenBucket(level=burst, since=0)
    randomness = Random(_SEED)
    admitted: Counter[int] = Counter()
    total: Counter[int] = Counter()
    now: float = 0
    while now < SECONDS:
        now += randomness.expovariate(sum(loads))
        priority = randomness.choices(range(len(loads)), loads)[0]
        is_admitted = not bucket.try_spend(rate, burst, now, priority)
        if now >= 5:
            total[priority] += 1
            admitted[priority] += is_admitted
    return admitted, total


@pytest.mark.parametrize(
    ('rate', 'max_rejected_fraction'),
    [(12.0, 0.07), (29.0, 0.01), (131.0, 0.01)],
)
def test_surge_rejects_hardly_any_urgent_operation(
    rate: float, max_rejected_fraction: float
) -> None:
    """Without a reserve, urgent ones were rejected like all others.

    A burst of 12 has a reserve of 2.4 tokens, a larger one 5.
    """
    load = rate * 4.7
    loads = tuple(load * part for part in CLASSES)
    admitted, total = _replay(rate, rate, loads)
    assert total[0] - admitted[0] <= max_rejected_fraction * total[0]
    assert sum(admitted.values()) <= rate * (SECONDS - 5) + rate


def test_less_urgent_classes_are_admitted_alike() -> None:
    """An order among them left background work nothing but the floor."""
    admitted, total = _replay(29, 29, (10, 40, 40))
    usual = admitted[1] / total[1]
    background = admitted[2] / total[2]
    assert usual == pytest.approx(background, rel=0.1)


@pytest.mark.parametrize('burst', [1.5, 5.0, 29.0])
def test_less_urgent_operations_do_not_starve(burst: float) -> None:
    """Urgent operations alone could otherwise use the whole limit."""
    admitted, _ = _replay(29, burst, (60, 20, 20))
    assert admitted[1] + admitted[2] >= 0.08 * 29 * (SECONDS - 5)


@pytest.mark.parametrize('burst', [1.0, 2.0, 3.5, 12.0, 66.0])
def test_least_urgent_operation_can_begin_when_the_bucket_is_full(
    burst: float,
) -> None:
    """A reserve as large as the burst would reject these for ever."""
    bucket = TokenBucket(level=burst, since=0)
    for _ in range(9):
        bucket.try_spend(10, burst, now=50, priority=2)
    assert not bucket.try_spend(10, burst, now=100, priority=2)
    assert compute_reserve(burst) <= burst * 0.2


def test_rejected_operation_can_begin_after_the_announced_delay() -> None:
    bucket = TokenBucket(level=12, since=0)
    now = 1.0
    wait: float = 0
    while not wait:
        wait = bucket.try_spend(12, 12, now, priority=2)
    assert not bucket.try_spend(12, 12, now + wait + 0.001, priority=2)


def test_bucket_of_a_new_coordinator_serves_all_priorities_at_once() -> None:
    """It would reject less urgent ones until its reserve was full."""
    bucket = TokenBucket(level=0, since=0)
    assert not bucket.try_spend(131, 131, now=0.1, priority=2)


def test_small_allowance_goes_to_urgent_operations_first() -> None:
    """A node without a coordinator has about one operation per workspace."""
    bucket = TokenBucket(level=1, since=0)
    assert not bucket.try_spend(0.5, 1, now=0)
    assert bucket.try_spend(0.5, 1, now=1)
    assert bucket.try_spend(0.5, 1, now=3, priority=1)
    assert not bucket.try_spend(0.5, 1, now=3)
    assert not bucket.try_spend(0.5, 1, now=6.5, priority=1)


def test_tokens_of_a_lost_share_are_lost() -> None:
    """Its next holder begins with none, so they would be spent twice."""
    bucket = TokenBucket(level=0, since=0)
    bucket.settle_shares([0, 0, 0], rate=2, burst=4, now=9)
    # One share is kept with its burst, and one is new.
    waits = [
        bucket.try_spend_shares([0, 9.5], rate=2, burst=4, now=10)
        for _ in range(8)
    ]
    assert waits == [0, 0, 0, 0, 0, 0, 0, 0.25]
