"""History of the writes that callers issued, and its consistency checker.

The checker relies on nothing in the proxy: it compares the outcomes reported
to callers with the rows that the databases finally hold.
"""

import json
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from deckdrum.databases import QueryResult


class ReportedOutcome(StrEnum):
    """Outcome of a write as reported to its caller."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


def parse_reported_outcome(answer: QueryResult) -> ReportedOutcome:
    """Return the outcome that an answer reports.

    An error raised by the database itself counts as not run.

    Examples
    --------
    >>> parse_reported_outcome(QueryResult()).value
    'done'
    >>> parse_reported_outcome(QueryResult((), '23505', 'exists')).value
    'not run'
    """
    if not answer.sqlstate:
        return ReportedOutcome.DONE
    if answer.detail.startswith('{'):
        return ReportedOutcome(json.loads(answer.detail)['outcome'])
    return ReportedOutcome.NOT_RUN


@dataclass(slots=True)
class History:
    """Reported outcomes of writes, and consistency violations of reads.

    `writes` holds the latest outcome of each write, by number.  `reads` counts
    checked reads, and `checks` the acknowledged writes they had to return.
    `violations` are those observed while the load ran.
    """

    writes: dict[int, ReportedOutcome] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    reads: int = 0
    checks: int = 0

    def record_write(self, number: int, outcome: ReportedOutcome) -> None:
        """Record the reported outcome of a write."""
        self.writes[number] = outcome

    def record_violation(self, text: str) -> None:
        """Record a consistency violation."""
        self.violations.append(text)

    def count(self, outcome: ReportedOutcome) -> int:
        """Return the number of writes reported as `outcome`."""
        return sum(each is outcome for each in self.writes.values())

    def check_rows(self, rows: Iterable[int]) -> list[str]:
        """Compare the history with the rows that the database finally holds.

        Parameters
        ----------
        rows : iterable of int
            Numbers of the rows; a duplicated row appears repeatedly.

        Returns
        -------
        list of str
            All violations, including those recorded earlier.
        """
        counts = Counter(rows)
        problems = list(self.violations)
        for number, outcome in self.writes.items():
            problems.extend(_check_write(number, outcome, counts))
        unexpected = counts.keys() - self.writes.keys()
        problems.extend(
            f'row {each} was not written by any caller' for each in unexpected
        )
        return problems


def _check_write(
    number: int, outcome: ReportedOutcome, counts: Mapping[int, int]
) -> list[str]:
    count = counts[number]
    problems = []
    if count > 1:
        problems.append(f'write {number} was doubled')
    if outcome is ReportedOutcome.DONE and count == 0:
        problems.append(f'acknowledged write {number} was lost')
    if outcome is ReportedOutcome.NOT_RUN and count:
        problems.append(
            f'write {number} was reported as not run but was executed'
        )
    return problems
