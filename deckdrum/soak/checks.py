"""Check the answers of callers against the logs of the databases."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from deckdrum.soak.records import Attempt, AttemptOutcome
from deckdrum.standins.users.records import Entry, ExecutedStatement
from deckdrum.testing.nodes import (
    BOUNDED,
    BOUNDED_AGE_MS,
    CURRENT,
    OWN_WRITES,
    OWN_WRITES_AGE_MS,
)

_MS_PER_S: Final = 1000
#: Accepted staleness of reads, by route.
_MAX_AGES_S: Final = MappingProxyType(
    {
        CURRENT: 0,
        BOUNDED: BOUNDED_AGE_MS / _MS_PER_S,
        OWN_WRITES: OWN_WRITES_AGE_MS / _MS_PER_S,
    },
)


@dataclass(frozen=True, slots=True)
class SoakHistory:
    """Attempts of all callers, and what the databases executed.

    Attributes
    ----------
    attempts : sequence of Attempt
        Attempts of all callers, with their outcomes.
    log : sequence of Entry
        Log of the last primary.
    executed_statements : sequence of ExecutedStatement
        Statements that the databases executed.
    """

    attempts: Sequence[Attempt]
    log: Sequence[Entry]
    executed_statements: Sequence[ExecutedStatement]

    def count_committed_writes(self) -> Counter[str]:
        """Return the number of log entries of each write, by request id."""
        return Counter(
            request_id for entry in self.log for request_id, _ in entry.writes
        )

    def compute_log_positions(self) -> dict[str, int]:
        """Return the log position of each write, by request id."""
        return {
            request_id: position
            for position, entry in enumerate(self.log, 1)
            for request_id, _ in entry.writes
        }


def find_lost(history: SoakHistory) -> list[str]:
    """Return acknowledged writes that are missing from the log."""
    committed = history.count_committed_writes()
    return [
        f'{write} was acknowledged but is missing from the log'
        for attempt in history.attempts
        if attempt.outcome is AttemptOutcome.DONE
        for write in attempt.writes
        if not committed[write]
    ]


def find_doubled(history: SoakHistory) -> list[str]:
    """Return writes that were committed more than once."""
    return [
        f'{write} was committed {times} times'
        for write, times in history.count_committed_writes().items()
        if times > 1
    ]


def find_untrue(history: SoakHistory) -> list[str]:
    """Return committed writes of attempts that must not have committed."""
    committed = history.count_committed_writes()
    return [
        f'{write} was committed, but the outcome was: {attempt.outcome}'
        for attempt in history.attempts
        if attempt.outcome
        in {AttemptOutcome.NOT_COMMITTED, AttemptOutcome.NOT_REQUESTED}
        for write in attempt.writes
        if committed[write]
    ]


def find_unasked(history: SoakHistory) -> list[str]:
    """Return executed statements that differ from what was sent."""
    sent = {
        request_id: text
        for attempt in history.attempts
        for request_id, text in attempt.statements.items()
    }
    return [
        f'{ran.request_id} was executed as {ran.text!r}'
        for ran in history.executed_statements
        if sent.get(ran.request_id) != ran.text
    ]


def find_mixed(history: SoakHistory) -> list[str]:
    """Return statements executed with the values of another session."""
    sessions = {
        request_id: attempt.session
        for attempt in history.attempts
        for request_id in attempt.statements
    }
    return [
        f'{ran.request_id} was executed with values {ran.values}'
        for ran in history.executed_statements
        if ran.values != (('colour', sessions.get(ran.request_id, '')),)
    ]


def find_wrong_rows(history: SoakHistory) -> list[str]:
    """Return reads that were answered with rows of another key."""
    return [
        f'{attempt.session} read {key} and got {row!r}'
        for attempt in history.attempts
        for key, row in attempt.reads
        if row.rpartition('-')[0] != key
    ]


def find_stale(history: SoakHistory) -> list[str]:
    """Return reads older than the consistency of their route allows."""
    positions = history.compute_log_positions()
    acknowledged = sorted(
        (attempt.ended_at, positions[write], attempt.session)
        for attempt in history.attempts
        if attempt.outcome is AttemptOutcome.DONE
        for write in attempt.writes
        if write in positions
    )
    found: list[str] = []
    for attempt in history.attempts:
        min_position = _compute_min_position(attempt, acknowledged)
        found.extend(
            f'{attempt.session} ({attempt.database}) read {row!r}, '
            f'minimum log position is {min_position}'
            for _, row in attempt.reads
            if int(row.rpartition('-')[2]) < min_position
        )
    return found


def _compute_min_position(
    attempt: Attempt,
    acknowledged: Iterable[tuple[float, int, str]],
) -> int:
    """Return the log position that the reads of an attempt must include."""
    max_age = _MAX_AGES_S[attempt.database]
    return max(
        (
            position_in_log
            for ended_at, position_in_log, session in acknowledged
            if ended_at < attempt.began_at - max_age
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


def find_violations(history: SoakHistory) -> list[str]:
    """Return all violations, each prefixed by the name of its check."""
    return [
        f'{check.__name__}: {each}'
        for check in CHECKS
        for each in check(history)
    ]
