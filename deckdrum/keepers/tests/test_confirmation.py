"""Answers are confirmed in the term in which they were given."""

from types import SimpleNamespace
from typing import Any

import pytest

from deckdrum.configuration.models import Acknowledgement
from deckdrum.databases.monitor import ServiceWatch
from deckdrum.keepers.core import Keeper
from deckdrum.keepers.relay import RelayResult
from deckdrum.keepers.sessions import KeeperSession
from deckdrum.sessions import Position
from deckdrum.utils.virtualtime import run_virtual

TIMEOUT_S = 3.0


class LaterTermWatch:
    """Watch of a group whose majority, and each database, is in term 2."""

    term = 2

    async def confirm(self, term: int, timeout: float) -> Position | None:
        """Confirm positions of term 2 only."""
        return Position(2, 70) if term == self.term else None

    async def fetch_applied(self, name: str, timeout: float) -> Position:
        """Return a position of term 2."""
        return Position(2, 70)


def make_keeper(databases: int) -> Any:
    """Return a keeper of a group that has turned to term 2."""
    keeper: Any = Keeper.__new__(Keeper)
    keeper.watch = LaterTermWatch()
    keeper.databases = dict.fromkeys(range(databases))
    keeper.service = SimpleNamespace(
        confirm_limit=TIMEOUT_S, acknowledgement=Acknowledgement.PRIMARY
    )
    return keeper


def make_route(term: int, *, is_primary: bool) -> Any:
    """Return a route to a database."""
    database = SimpleNamespace(name='d1')
    pool = SimpleNamespace(database=database)
    return SimpleNamespace(pool=pool, is_primary=is_primary, term=term)


@pytest.mark.parametrize(
    ('term', 'expected'), [(1, None), (2, Position(2, 70))]
)
def test_read_of_an_ended_term_is_not_confirmed(
    term: int, expected: Position | None
) -> None:
    """A replica may return changes that the later term has discarded."""
    keeper = make_keeper(databases=5)
    route = make_route(term, is_primary=False)
    assert run_virtual(keeper.confirm_read, route, None) == expected


@pytest.mark.parametrize(
    ('term', 'expected'), [(1, None), (2, Position(2, 70))]
)
def test_primary_that_turned_to_a_later_term_confirms_nothing(
    term: int, expected: Position | None
) -> None:
    """Its log may have lost the change, also without a majority's promise."""
    session: Any = KeeperSession.__new__(KeeperSession)
    session._keeper = make_keeper(databases=3)
    route = make_route(term, is_primary=True)
    end = RelayResult('I')
    assert run_virtual(session._confirm, route, end) == expected


def test_position_of_an_ended_term_is_not_confirmed() -> None:
    """The wait ends at once, since it cannot succeed any more."""

    async def confirm() -> Position | None:
        watch = ServiceWatch(())
        watch.apply_leadership(2, 'd1')
        return await watch.confirm(1, TIMEOUT_S)

    assert run_virtual(confirm) is None
