"""Replay of uneven demand on uneven holders, with and without reports."""

from dataclasses import dataclass, field

import pytest

from deckdrum.load.reports import (
    REPORT_LIFETIME_S,
    HolderWaits,
    decode_waits,
    encode_waits,
    estimate_delay,
    estimate_wait,
)

CONNECTIONS = 3
WORK_S = 0.03
OBJECTIVE_S = 0.2
#: Statements per second at the crest of a wave; one holder runs 100.
RATE = 150
DURATION_S = 3


@dataclass(slots=True)
class Holder:
    """Holder that runs statements in order of arrival."""

    starts: list[float] = field(default_factory=list)
    waits: HolderWaits = field(default_factory=HolderWaits)
    reported_at: float = float('-inf')

    def run(self, now: float) -> float:
        """Run a statement and report; return its time."""
        start = now
        if len(self.starts) >= CONNECTIONS:
            start = max(now, self.starts[-CONNECTIONS] + WORK_S)
        self.starts.append(start)
        held = sum(each <= now < each + WORK_S for each in self.starts)
        waiting = sum(each > now for each in self.starts)
        wait = estimate_wait(waiting, held, CONNECTIONS, WORK_S)
        load = encode_waits(HolderWaits(wait, wait))
        self.waits = decode_waits(load) or HolderWaits()
        self.reported_at = now
        return start + WORK_S - now


def _count_in_time(*, has_reports: bool) -> float:
    """Return the share of statements in time if all prefer one holder."""
    holders = [Holder(), Holder()]
    count = RATE * DURATION_S
    in_time = 0
    for number in range(count):
        now = number / RATE
        delays = [
            estimate_delay(
                holder.waits.primary if has_reports else 0,
                now - holder.reported_at,
                has_connection=not rank,
                is_remote=bool(rank),
            )
            for rank, holder in enumerate(holders)
        ]
        chosen = holders[delays.index(min(delays))]
        in_time += chosen.run(now) <= OBJECTIVE_S
    return in_time / count


def test_reports_move_a_wave_of_load_to_an_idle_holder() -> None:
    # Failure: the first holder queues for longer than the objective while
    # another holder of the group is idle.
    assert _count_in_time(has_reports=False) < 0.5
    assert _count_in_time(has_reports=True) == 1


@pytest.mark.parametrize(
    'load',
    [
        [-1, 0],
        [0, 1e300],
        [float('nan'), 0],
        [float('inf'), 0],
        [1.0],
        [1.0, 2.0, 3.0],
        ['1', '2'],
    ],
)
def test_invalid_report_is_not_used(load: list[float]) -> None:
    # Failure: one holder that reports nonsense attracts or repels everything.
    assert decode_waits(load) is None


def test_report_that_is_too_old_has_no_weight() -> None:
    # Failure: a holder that was busy once is avoided after its reports stop.
    delay = estimate_delay(
        5, REPORT_LIFETIME_S, has_connection=True, is_remote=False
    )
    assert delay == 0
