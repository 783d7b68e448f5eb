"""Cases of primary changes whose overlapping faults are drawn with a seed."""

from dataclasses import dataclass, replace
from random import Random
from typing import Final

from deckdrum.testing.fault_actions import DRAWN_ACTIONS, DrawnFault
from deckdrum.testing.membership_actions import (
    LOSING_FAULT,
    MEMBERSHIP_KINDS,
    REFUSING_FAULT,
)

#: Latest start of a fault after the first promotion call: before the driver
#: gives up, or after another node has taken over.
_MAX_STARTS_S: Final = (3.0, 9.0)
_MAX_DURATIONS_S: Final = (1.0, 5.0, 9.0)
_MIN_DURATION_S: Final = 0.1
#: Fraction of faults that start before the first promotion takes effect.
_EARLY_FRACTION: Final = 0.6
_MAX_EARLY_START_S: Final = 0.4
_MAX_TARGET: Final = 1000
_FAULT_COUNTS: Final = (1, 2, 2, 3, 3, 4, 5)
_PROMOTION_TIMES_S: Final = (0.1, 0.3, 0.3, 0.6, 1.0)
_LOSSES: Final = ('crash', 'silent', 'cut off', 'draining')
#: How long a successor that is lost for good leads.
_MAX_LED_S: Final = (0.05, 0.6, 2.0)
#: Longest time from the restart of a node until the primary drains.
_MAX_LEAD_S: Final = 2.5
_LAG_S: Final = 0.02
#: Replication delays in which a read at a former primary lacks writes.
_LONG_LAGS_S: Final = (0.1, 0.3, 0.6)


@dataclass(frozen=True, slots=True)
class DrawnCase:
    """Faults of one primary change.

    Attributes
    ----------
    nodes : int
        Number of nodes.
    synchronous_replicas : int
        Synchronous replicas of the group.
    loss : str
        How the primary is lost: ``crash``, ``silent``, ``cut off`` or
        ``draining``.
    unanswered : int
        Number of promotion calls that take effect without an answer.
    promotion_time : float
        Time from a promotion call to its effect, in seconds.
    is_checking_fences : bool
        Whether the platform refuses lower fencing tokens.
    faults : tuple of DrawnFault
        The faults, by start.
    is_checking_reads : bool
        Whether nodes read, which needs that no acknowledged write is rolled
        back.  The first fault comes before the primary is lost then, and its
        node does not write.
    lag : float
        Replication delay, in seconds.
    lead : float
        Time from the first fault until the primary is lost, in seconds, if
        reads are checked.
    """

    nodes: int
    synchronous_replicas: int
    loss: str
    unanswered: int
    promotion_time: float
    is_checking_fences: bool
    faults: tuple[DrawnFault, ...]
    is_checking_reads: bool = False
    lag: float = _LAG_S
    lead: float = 0


def draw_case(seed: int) -> DrawnCase:
    """Return the case of a seed."""
    randomness = Random(seed)
    faults = [
        _draw_fault(randomness) for _ in range(randomness.choice(_FAULT_COUNTS))
    ]
    return DrawnCase(
        nodes=randomness.choice((3, 5)),
        synchronous_replicas=randomness.choice((0, 1)),
        loss=randomness.choice(_LOSSES),
        unanswered=randomness.choice((0, 0, 0, 1, 2)),
        promotion_time=randomness.choice(_PROMOTION_TIMES_S),
        is_checking_fences=randomness.choice((False, True)),
        faults=tuple(sorted(faults, key=lambda each: each.start)),
    )


def draw_refusing_case(seed: int) -> DrawnCase:
    """Return a planned change while nodes that run refuse connections.

    The first cut is there before the primary drains.  Nothing else fails, so
    that no acknowledged write is rolled back.
    """
    randomness = Random(f'refusing/{seed}')
    cuts = [
        replace(_draw_fault(randomness), kind=REFUSING_FAULT)
        for _ in range(randomness.choice(_FAULT_COUNTS))
    ]
    return DrawnCase(
        nodes=randomness.choice((3, 5)),
        synchronous_replicas=0,
        loss='draining',
        unanswered=0,
        promotion_time=randomness.choice(_PROMOTION_TIMES_S),
        is_checking_fences=randomness.choice((False, True)),
        faults=(replace(cuts[0], start=0), *cuts[1:]),
        is_checking_reads=True,
    )


def draw_losing_case(seed: int) -> DrawnCase:
    """Return a change whose successor is lost for good, seen or not."""
    randomness = Random(f'losing/{seed}')
    loss = DrawnFault(
        LOSING_FAULT,
        0,
        randomness.uniform(0, randomness.choice(_MAX_LED_S)),
        randomness.randrange(_MAX_TARGET),
    )
    others = [
        _draw_fault(randomness)
        for _ in range(randomness.choice(_FAULT_COUNTS) - 1)
    ]
    return DrawnCase(
        nodes=randomness.choice((2, 3, 3, 5)),
        synchronous_replicas=randomness.choice((0, 1, 1)),
        loss=randomness.choice(_LOSSES),
        unanswered=randomness.choice((0, 0, 1)),
        promotion_time=randomness.choice(_PROMOTION_TIMES_S),
        is_checking_fences=randomness.choice((False, True)),
        faults=(loss, *others),
    )


def draw_membership_case(seed: int) -> DrawnCase:
    """Return a planned change while nodes restart and are not registered."""
    randomness = Random(f'membership/{seed}')
    restarts = [
        replace(
            _draw_fault(randomness), kind=randomness.choice(MEMBERSHIP_KINDS)
        )
        for _ in range(randomness.choice(_FAULT_COUNTS))
    ]
    return DrawnCase(
        nodes=randomness.choice((3, 5)),
        synchronous_replicas=0,
        loss='draining',
        unanswered=0,
        promotion_time=randomness.choice(_PROMOTION_TIMES_S),
        is_checking_fences=randomness.choice((False, True)),
        faults=(replace(restarts[0], start=0), *restarts[1:]),
        is_checking_reads=True,
        lag=randomness.choice(_LONG_LAGS_S),
        lead=randomness.uniform(0, _MAX_LEAD_S),
    )


def _draw_fault(randomness: Random) -> DrawnFault:
    is_early = randomness.random() < _EARLY_FRACTION
    late = randomness.choice(_MAX_STARTS_S)
    return DrawnFault(
        randomness.choice(tuple(DRAWN_ACTIONS)),
        randomness.uniform(0, _MAX_EARLY_START_S if is_early else late),
        randomness.uniform(
            _MIN_DURATION_S, randomness.choice(_MAX_DURATIONS_S)
        ),
        randomness.randrange(_MAX_TARGET),
    )
