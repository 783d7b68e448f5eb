"""Load shedding at an entry node, replayed with given times."""

from collections import Counter

import pytest

from deckdrum.load.shedding import HolderRejections, StatementKind

#: Statements per second of each kind, and how long the overload lasts.
RATE = 500
OVERLOAD_S = 1.0
RETRY_AFTER_S = 0.06


def build_kind(
    priority: int = 2, workspace: str = '', *, needs_primary: bool = False
) -> StatementKind:
    """Return a kind of statement."""
    return StatementKind(priority, workspace, needs_primary)


def is_sent(
    rejections: HolderRejections,
    kind: StatementKind,
    now: float,
    *,
    is_overloaded: bool,
) -> bool:
    """Send a statement if it is not shed; an overloaded holder rejects it."""
    if rejections.find_remaining(kind, now):
        return False
    if is_overloaded and kind.priority:
        rejections.record_rejection(kind, RETRY_AFTER_S, now)
    else:
        rejections.record_success(kind, now)
    return True


def test_overloaded_holder_gets_few_statements_and_recovers_at_once() -> None:
    """Guards against messages that only bring rejections."""
    rejections = HolderRejections()
    sent: Counter[tuple[int, bool]] = Counter()
    served_at = []
    for step in range(2 * RATE):
        now = step / RATE
        is_overloaded = now < OVERLOAD_S
        for priority in (0, 1, 2):
            kind = build_kind(priority)
            if is_sent(rejections, kind, now, is_overloaded=is_overloaded):
                sent[priority, is_overloaded] += 1
                if priority and not is_overloaded:
                    served_at.append(now)
    assert sent[0, True] == sent[0, False] == RATE
    # One every 20 ms, and the first ones.
    assert sent[1, True] + sent[2, True] <= OVERLOAD_S * 50 + 5
    assert served_at[0] <= OVERLOAD_S + 0.022
    assert sent[2, False] >= 0.93 * RATE


def test_rejection_applies_to_the_same_and_lower_urgency() -> None:
    rejections = HolderRejections()
    rejections.record_rejection(build_kind(1), 0.05, now=1)
    assert rejections.find_remaining(build_kind(1), 1.01)
    assert rejections.find_remaining(build_kind(2), 1.01)
    rejections = HolderRejections()
    rejections.record_rejection(build_kind(2), 0.05, now=1)
    assert not rejections.find_remaining(build_kind(1), 1.01)


@pytest.mark.parametrize(('retry_after', 'applied'), [(0.03, 0.03), (5, 0.1)])
def test_rejection_applies_for_a_bounded_time(
    retry_after: float, applied: float
) -> None:
    """Guards against a wrong `retry_after` that cuts off a class."""
    rejections = HolderRejections()
    rejections.record_rejection(build_kind(), retry_after, now=1)
    remaining = rejections.find_remaining(build_kind(), 1.01)
    assert remaining == pytest.approx(applied - 0.01)
    assert not rejections.find_remaining(build_kind(), 1 + applied)


def test_workspace_with_a_surge_does_not_stop_the_others() -> None:
    rejections = HolderRejections()
    rejections.record_rejection(build_kind(1, 'hot'), 0.05, now=1)
    assert rejections.find_remaining(build_kind(1, 'hot'), 1.01)
    assert not rejections.find_remaining(build_kind(1, 'other'), 1.01)
    # A second workspace shows that the holder is overloaded.
    rejections.record_rejection(build_kind(1, 'second'), 0.05, now=1)
    assert rejections.find_remaining(build_kind(1, 'other'), 1.01)


def test_rejection_by_the_primary_does_not_stop_reads_of_replicas() -> None:
    rejections = HolderRejections()
    change = build_kind(1, needs_primary=True)
    rejections.record_rejection(change, 0.05, now=1)
    assert rejections.find_remaining(change, 1.01)
    assert not rejections.find_remaining(build_kind(1), 1.01)
    # A rejected read has tried the primary last.
    rejections.record_rejection(build_kind(1), 0.05, now=1)
    assert rejections.find_remaining(change, 1.01)


def test_success_ends_only_earlier_rejections() -> None:
    """An answer may overtake the rejection of a later statement."""
    rejections = HolderRejections()
    rejections.record_rejection(build_kind(), 0.05, now=1)
    rejections.record_success(build_kind(), sent_at=0.99)
    assert rejections.find_remaining(build_kind(), 1.01)
    rejections.record_success(build_kind(1), sent_at=1.005)
    assert rejections.find_remaining(build_kind(), 1.01)
    rejections.record_success(build_kind(), sent_at=1.005)
    assert not rejections.find_remaining(build_kind(), 1.01)
