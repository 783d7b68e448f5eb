"""Check the answers of callers against the logs of the databases."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from deckdrum.soak.records import Attempt, AttemptOutcome
from deckdrum.standins.users.records import (
    Commit,
    Entry,
    ExecutedStatement,
    Takeover,
)
from deckdrum.testing.nodes import (
    BOUNDED,
    BOUNDED_AGE_MS,
    CURRENT,
    OWN_WRITES,
    OWN_WRITES_AGE_MS,
)
from deckdrum.testing.replaced_primaries import (
    find_disordered_promotions,
    find_takeover_before,
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
    commits : sequence of Commit
        Changes that the databases appended to their logs as primaries.
    takeovers : sequence of Takeover
        Promotions that took effect.
    promotions : sequence of tuple
        Accepted promotion calls in order: server, node and fencing token.
    has_synchronous_replicas : bool
        Whether a change was received by a replica before it was acknowledged.
        Otherwise a promotion may roll back acknowledged writes.
    """

    attempts: Sequence[Attempt]
    log: Sequence[Entry]
    executed_statements: Sequence[ExecutedStatement]
    commits: Sequence[Commit] = ()
    takeovers: Sequence[Takeover] = ()
    promotions: Sequence[tuple[str, str, int]] = ()
    has_synchronous_replicas: bool = True

    def list_acknowledged_writes(self) -> list[str]:
        """Return the request ids of the acknowledged writes."""
        return [
            write
            for attempt in self.attempts
            if attempt.outcome is AttemptOutcome.DONE
            for write in attempt.writes
        ]

    def group_commits(self) -> dict[str, list[Commit]]:
        """Return the commits of each write, by request id."""
        commits: dict[str, list[Commit]] = {}
        for commit in self.commits:
            for request_id, _ in commit.entry.writes:
                commits.setdefault(request_id, []).append(commit)
        return commits

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
    """Return acknowledged writes that are missing from the log.

    Without synchronous replicas, a write may be missing if it was committed
    before the takeover that rolled it back.
    """
    committed = history.count_committed_writes()
    commits = history.group_commits()
    return [
        f'{write} was acknowledged but is missing from the log'
        for write in history.list_acknowledged_writes()
        if not committed[write]
        and not _may_be_rolled_back(history, commits.get(write, ()))
    ]


def _may_be_rolled_back(
    history: SoakHistory,
    commits: Iterable[Commit],
) -> bool:
    if history.has_synchronous_replicas:
        return False
    return any(
        takeover.term > commit.entry.term
        and takeover.took_effect_at >= commit.committed_at
        for commit in commits
        for takeover in history.takeovers
    )


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


def find_replaced_primary_writes(history: SoakHistory) -> list[str]:
    """Return acknowledged writes that only a replaced primary committed."""
    commits = history.group_commits()
    found: list[str] = []
    for write in history.list_acknowledged_writes():
        successors = [
            find_takeover_before(commit, history.takeovers)
            for commit in commits.get(write, ())
        ]
        found.extend(
            f'{write} was acknowledged, but committed by {commit.server} in '
            f'term {commit.entry.term} at {commit.committed_at:.3f} s, after '
            f'{successor.server} had become primary of term {successor.term} '
            f'at {successor.took_effect_at:.3f} s'
            for commit, successor in zip(
                commits.get(write, ()), successors, strict=True
            )
            if successor is not None and all(successors)
        )
    return found


def find_conflicting_promotions(history: SoakHistory) -> list[str]:
    """Return promotion calls with an older token, or one used otherwise."""
    return find_disordered_promotions(history.promotions)


_Check = Callable[[SoakHistory], list[str]]
CHECKS: Final[tuple[_Check, ...]] = (
    find_lost,
    find_doubled,
    find_untrue,
    find_unasked,
    find_mixed,
    find_wrong_rows,
    find_stale,
    find_replaced_primary_writes,
    find_conflicting_promotions,
)


def find_violations(history: SoakHistory) -> list[str]:
    """Return all violations, each prefixed by the name of its check."""
    return [
        f'{check.__name__}: {each}'
        for check in CHECKS
        for each in check(history)
    ]
