"""Replays of lagging replicas and of reads that crowd out urgent statements."""

import heapq

import pytest

from deckdrum.load.replica_reads import (
    count_primary_reads,
    plan_replica_wait,
    raise_lag,
)

SLOTS = 4
#: Connections of all nodes to one primary.
CONNECTIONS = 28
READ_S = 0.015
#: Work of an urgent statement and of a read.
WORK_S = (0.003, READ_S)
URGENT_OBJECTIVE_S = 0.1
READ_OBJECTIVE_S = 0.2


def _run_urgent_operation(reads: int, statements: int) -> float:
    """Return the time of an urgent operation at a busy primary, in seconds.

    The server runs statements in order of arrival.  As many reads as given are
    always in flight: each is followed by another one.
    """
    began = READ_S / 2
    free_at: list[float] = [0 for _ in range(SLOTS)]
    in_flight: list[tuple[float, bool]] = [(0, True) for _ in range(reads)]
    heapq.heappush(in_flight, (began, False))
    left = statements
    while True:
        now, is_read = heapq.heappop(in_flight)
        if not is_read and not left:
            return now - began
        start = max(now, heapq.heappop(free_at))
        end = start + WORK_S[is_read]
        heapq.heappush(free_at, end)
        heapq.heappush(in_flight, (end, is_read))
        left -= not is_read


def test_bound_on_reads_keeps_urgent_operations_in_time() -> None:
    # Failure: reads that a replica could run fill the queue of the primary.
    all_reads = _run_urgent_operation(CONNECTIONS, statements=2)
    bounded = _run_urgent_operation(
        count_primary_reads(CONNECTIONS), statements=2
    )
    assert all_reads > URGENT_OBJECTIVE_S
    assert bounded <= URGENT_OBJECTIVE_S


def _count_attempts(lag: float, reads: int) -> tuple[int, int, int]:
    """Read own changes, half a second apart, 1 ms after each change.

    Returns the reads that a replica with this lag served in time, the failed
    attempts there, and the reads that went to the primary.
    """
    expected: float = 0
    served = failed = at_primary = 0
    for number in range(reads):
        created_at = number / 2
        now = created_at + 0.001
        deadline = now + READ_OBJECTIVE_S
        while True:
            wait = plan_replica_wait(
                created_at, expected, READ_S, now, deadline
            )
            if wait is None:
                at_primary += 1
                break
            now += wait
            if now >= created_at + lag:
                served += 1
                break
            failed += 1
            expected = raise_lag(expected, now - created_at)
    return served, failed, at_primary


@pytest.mark.parametrize('lag', [0.012, 0.06, 0.12])
def test_reads_wait_for_a_replica_that_catches_up(lag: float) -> None:
    # Failure: reads of own changes go to the primary while replicas lag.
    served, failed, _ = _count_attempts(lag, reads=20)
    assert served >= 19
    assert failed <= 6


@pytest.mark.parametrize('lag', [0.41, 1.2, 1e9])
def test_reads_do_not_wait_for_a_replica_that_is_far_behind(
    lag: float,
) -> None:
    # Failure: a replica never catches up, and each read waits for it.
    served, failed, at_primary = _count_attempts(lag, reads=20)
    assert not served
    assert failed <= 8
    assert at_primary == 20
