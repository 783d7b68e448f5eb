"""Batches are not sent on routes whose term has ended."""

from types import SimpleNamespace
from typing import Any

import curio
import pytest

from deckdrum.databases.monitor import ServiceWatch
from deckdrum.fleet.messages import RunBatch
from deckdrum.keepers.access import Access
from deckdrum.keepers.attempts import Attempt, HeldConnection
from deckdrum.keepers.core import Keeper
from deckdrum.keepers.sessions import KeeperSession
from deckdrum.outcomes import Code, Fate, Refusal
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.utils.virtualtime import run_virtual

DEADLINE_S = 5.0


class RecordingPool:
    """Pool that records whether its connections came back clean."""

    def __init__(self) -> None:
        self.released: list[bool] = []

    async def release(self, lease: Any, is_clean: bool) -> None:
        """Record a released connection."""
        self.released.append(is_clean)


class SilentLink:
    """Connection on which nothing may be sent."""

    settings = ()


def make_keeper(term: int) -> Any:
    """Return a keeper whose view holds a record of `term`."""
    record = GroupRecord(
        service='stalls',
        term=term,
        primary='d2',
        phase=Phase.SETTLED,
        operation='o',
        driver='p1',
    )
    keeper: Any = Keeper.__new__(Keeper)
    keeper.service = SimpleNamespace(name='stalls')
    keeper.watch = ServiceWatch(())
    keeper.context = SimpleNamespace(
        view=SimpleNamespace(
            records={'stalls': SimpleNamespace(record=record)}
        ),
        metrics=SimpleNamespace(count=lambda event: None),
    )
    return keeper


def make_route(pool: RecordingPool, *, is_primary: bool = True) -> Any:
    """Return a route of term 1."""
    return SimpleNamespace(pool=pool, is_primary=is_primary, term=1)


@pytest.mark.parametrize(
    ('term', 'is_primary', 'expected'),
    [(1, True, False), (2, True, True), (2, False, False)],
)
def test_primary_route_ends_with_its_term(
    term: int, is_primary: bool, expected: bool
) -> None:
    route = make_route(RecordingPool(), is_primary=is_primary)
    assert make_keeper(term).has_term_ended(route) is expected


def test_open_transaction_of_an_ended_term_is_refused_at_once() -> None:
    """The caller learns that nothing is kept, before it asks to commit."""
    pool = RecordingPool()
    lease: Any = SimpleNamespace(link=SilentLink())
    refusals = []

    async def record_refusal(refusal: Refusal, lost: bool = False) -> None:
        refusals.append((refusal.code, refusal.fate, lost))

    session: Any = KeeperSession.__new__(KeeperSession)
    session._keeper = make_keeper(term=2)
    session._connection = HeldConnection(lease, make_route(pool))
    session._refuse = record_refusal
    batch = RunBatch(b'', Access.WRITE.value)
    run_virtual(session._run_batch, batch)
    assert refusals == [(Code.TRANSACTION_LOST, Fate.NOT_RUN, True)]
    assert pool.released == [False]


def test_batch_is_routed_again_if_its_term_ended_while_it_waited() -> None:
    """Sent to the old primary, its outcome would be unknown."""
    pool = RecordingPool()
    lease: Any = SimpleNamespace(link=SilentLink())
    session: Any = KeeperSession.__new__(KeeperSession)
    session._keeper = make_keeper(term=2)
    batch = RunBatch(b'', Access.WRITE.value)
    attempt = Attempt(batch, Access.WRITE, DEADLINE_S)

    async def acquire(attempt: Attempt) -> HeldConnection:
        await curio.sleep(0.1)
        return HeldConnection(lease, make_route(pool))

    session._acquire = acquire
    assert run_virtual(session._try_once, attempt) is attempt
    assert pool.released == [True]
    assert not session.is_pinned
