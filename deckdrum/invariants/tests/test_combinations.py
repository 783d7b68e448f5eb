"""Tests of invariants under combined faults, with deterministic cases."""

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from deckdrum.invariants.combinations import FAULT_INJECTORS, Fault, run_faults
from deckdrum.invariants.tests.test_invariants import (
    acknowledge_without_replicas,
)
from deckdrum.utils.virtualtime import run_virtual

FAULTS = st.builds(
    Fault,
    kind=st.sampled_from(sorted(FAULT_INJECTORS)),
    start=st.sampled_from([0, 0.3, 0.31, 0.9, 1.2, 2.0]),
    duration=st.sampled_from([0.05, 0.5, 1.5, 3.0]),
    target=st.integers(0, 3),
)


@settings(
    max_examples=10,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(FAULTS, min_size=1, max_size=4))
@example([Fault('crash', 0, 3.0, 0), Fault('crash', 1.2, 1.5, 1)])
@example([Fault('cut', 0, 3.0, 0), Fault('stop proxy', 0.9, 0.5, 1)])
def test_no_invariant_is_violated(faults: list[Fault]) -> None:
    assert not run_virtual(run_faults, faults)


#: Durations of partitions that heal while the primary is being changed.
DURATIONS_S = [round(1.35 + step * 0.05, 2) for step in range(11)]
#: Pairs of the first primary and each proxy that may reach it.
PRIMARY_TARGETS = range(0, 12, 3)
#: Pairs of a replica and each proxy that may reach it.
REPLICA_TARGETS = [target for target in range(12) if target % 3]


def find_violations(target: int, durations: list[float]) -> list[str]:
    """Run each partition on its own; return what was violated in any."""
    cuts = [Fault('cut', 0.3, duration, target) for duration in durations]
    return [
        f'{cut}: {violation}'
        for cut in cuts
        for violation in run_virtual(run_faults, [cut], 0.5)
    ]


@pytest.mark.parametrize('target', PRIMARY_TARGETS)
def test_primary_that_heals_during_a_change_loses_no_write(target: int) -> None:
    """Its late answer must not be confirmed in the next term."""
    assert not find_violations(target, DURATIONS_S)


@pytest.mark.parametrize('target', REPLICA_TARGETS)
def test_replica_that_heals_loses_no_write(target: int) -> None:
    """Its late answer must not be confirmed in the next term."""
    assert not find_violations(target, DURATIONS_S[1::4])


def test_disabled_rule_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    acknowledge_without_replicas(monkeypatch)
    # Partitions the first database with each of the proxies in turn.
    cuts = [Fault('cut', 0.3, 3.0, target) for target in (9, 6, 3, 0)]
    assert any(run_virtual(run_faults, [cut]) for cut in cuts)
