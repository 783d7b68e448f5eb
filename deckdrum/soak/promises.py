"""Whether what callers were told agrees with what the databases hold."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from deckdrum.soak.records import Attempt, Fate
from deckdrum.standins.users.records import Entry, ExecutedStatement
from deckdrum.testing.nodes import (
    BOUNDED,
    BOUNDED_AGE_MS,
    CURRENT,
    OWN_WRITES,
    OWN_WRITES_AGE_MS,
)

#: Milliseconds in a second.
_MS: Final = 1000
#: Accepted age of reads by the name of the route, in seconds.
_AGES: Final = MappingProxyType(
    {
        CURRENT: 0,
        BOUNDED: BOUNDED_AGE_MS / _MS,
        OWN_WRITES: OWN_WRITES_AGE_MS / _MS,
    },
)


@dataclass(frozen=True, slots=True)
class SoakHistory:
    """What is compared.

    Attributes
    ----------
    attempts : sequence of Attempt
        What the callers asked and were told.
    log : sequence of Entry
        The log of the last primary.
    ran : sequence of Ran
        What the databases ran.
    """

    attempts: Sequence[Attempt]
    log: Sequence[Entry]
    ran: Sequence[ExecutedStatement]

    def count_committed_writes(self) -> Counter[str]:
        """Return how often each write stands in the log, by its id."""
        return Counter(
            request_id for entry in self.log for request_id, _ in entry.writes
        )

    def compute_log_positions(self) -> dict[str, int]:
        """Return the place in the log of each write, by its id."""
        return {
            request_id: place
            for place, entry in enumerate(self.log, 1)
            for request_id, _ in entry.writes
        }


def find_lost(evidence: SoakHistory) -> list[str]:
    """Return acknowledged writes that are missing."""
    kept = evidence.count_committed_writes()
    return [
        f'{write} was acknowledged and is missing'
        for attempt in evidence.attempts
        if attempt.fate is Fate.DONE
        for write in attempt.writes
        if not kept[write]
    ]


def find_doubled(evidence: SoakHistory) -> list[str]:
    """Return writes that took effect twice."""
    return [
        f'{write} took effect {times} times'
        for write, times in evidence.count_committed_writes().items()
        if times > 1
    ]


def find_untrue(evidence: SoakHistory) -> list[str]:
    """Return writes that are kept although nothing was to be kept."""
    kept = evidence.count_committed_writes()
    return [
        f'{write} is kept, the caller was told: {attempt.fate}'
        for attempt in evidence.attempts
        if attempt.fate in {Fate.NOT_KEPT, Fate.NOT_ASKED}
        for write in attempt.writes
        if kept[write]
    ]


def find_unasked(evidence: SoakHistory) -> list[str]:
    """Return statements that ran and were not sent so."""
    sent = {
        request_id: text
        for attempt in evidence.attempts
        for request_id, text in attempt.texts.items()
    }
    return [
        f'{ran.request_id} ran as {ran.text!r}'
        for ran in evidence.ran
        if sent.get(ran.request_id) != ran.text
    ]


def find_mixed(evidence: SoakHistory) -> list[str]:
    """Return statements that ran with another session's values."""
    sessions = {
        request_id: attempt.session
        for attempt in evidence.attempts
        for request_id in attempt.texts
    }
    return [
        f'{ran.request_id} ran with values {ran.values}'
        for ran in evidence.ran
        if ran.values != (('colour', sessions.get(ran.request_id, '')),)
    ]


def find_wrong_rows(evidence: SoakHistory) -> list[str]:
    """Return reads that were answered with rows of something else."""
    return [
        f'{attempt.session} read {thing} and got {row!r}'
        for attempt in evidence.attempts
        for thing, row in attempt.reads
        if row.rpartition('-')[0] != thing
    ]


def find_stale(evidence: SoakHistory) -> list[str]:
    """Return reads that missed a change which they had to include."""
    numbers = evidence.compute_log_positions()
    acknowledged = sorted(
        (attempt.ended_at, numbers[write], attempt.session)
        for attempt in evidence.attempts
        if attempt.fate is Fate.DONE
        for write in attempt.writes
        if write in numbers
    )
    found: list[str] = []
    for attempt in evidence.attempts:
        needed = _find_needed(attempt, acknowledged)
        found.extend(
            f'{attempt.session} ({attempt.database}) read at {row!r}, '
            f'{needed} had to be included'
            for _, row in attempt.reads
            if int(row.rpartition('-')[2]) < needed
        )
    return found


def _find_needed(
    attempt: Attempt,
    acknowledged: Iterable[tuple[float, int, str]],
) -> int:
    """Return the place in the log that the attempt's reads must include."""
    age = _AGES[attempt.database]
    return max(
        (
            number
            for ended_at, number, session in acknowledged
            if ended_at < attempt.began_at - age
            or (
                attempt.database == OWN_WRITES
                and session == attempt.session
                and ended_at < attempt.began_at
            )
        ),
        default=0,
    )


_Check = Callable[[SoakHistory], list[str]]
CHECKS: Final[tuple[_Check, ...]] = (
    find_lost,
    find_doubled,
    find_untrue,
    find_unasked,
    find_mixed,
    find_wrong_rows,
    find_stale,
)


def find_violations(evidence: SoakHistory) -> list[str]:
    """Return every promise that was broken."""
    return [
        f'{check.__name__}: {each}'
        for check in CHECKS
        for each in check(evidence)
    ]
