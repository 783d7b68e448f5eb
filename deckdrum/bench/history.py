"""A record of what callers asked and were told, and its checker.

The checker is independent of the product: it compares the callers' record
with the rows that the databases hold in the end.
"""

import json
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from deckdrum.databases import QueryResult


class ReportedOutcome(StrEnum):
    """What a caller was told of a write."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


def parse_reported_outcome(answer: QueryResult) -> ReportedOutcome:
    """Return what an answer says of the request.

    An error of the database itself counts as not run.

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
    """Writes by number, reads that went wrong, and counts.

    Attributes
    ----------
    writes : dict of int to Told
        What callers were told of each write.
    violations : list of str
        What broke a promise while the load ran.
    """

    writes: dict[int, ReportedOutcome] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    reads: int = 0
    checks: int = 0

    def record_write(self, number: int, told: ReportedOutcome) -> None:
        """Note what became of a write."""
        self.writes[number] = told

    def record_violation(self, text: str) -> None:
        """Note a broken promise."""
        self.violations.append(text)

    def count(self, told: ReportedOutcome) -> int:
        """Return the writes of which callers were told `told`."""
        return sum(each is told for each in self.writes.values())

    def check_rows(self, rows: Iterable[int]) -> list[str]:
        """Compare the record with the rows that are there in the end.

        Parameters
        ----------
        rows : iterable of int
            Numbers of the rows, repeated if a row is there twice.

        Returns
        -------
        list of str
            Every broken promise.
        """
        counts = Counter(rows)
        found = list(self.violations)
        for number, told in self.writes.items():
            found.extend(_judge(number, told, counts))
        strange = counts.keys() - self.writes.keys()
        found.extend(f'row {each} was never asked for' for each in strange)
        return found


def _judge(
    number: int, told: ReportedOutcome, counts: Mapping[int, int]
) -> list[str]:
    count = counts[number]
    found = []
    if count > 1:
        found.append(f'write {number} was doubled')
    if told is ReportedOutcome.DONE and count == 0:
        found.append(f'acknowledged write {number} was lost')
    if told is ReportedOutcome.NOT_RUN and count:
        found.append(f'write {number} was told not run, and ran')
    return found
