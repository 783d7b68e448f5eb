"""How long a driver waits for a promotion."""

import curio

from deckdrum.databases import DatabaseLink, DatabaseState, Role
from deckdrum.failover.promotion import PROMOTION_STALLED_AFTER_S
from deckdrum.failover.tests.builders import (
    MemoryStore,
    ObedientDatabase,
    build_record,
    build_view,
    run_failover,
)
from deckdrum.store.records import Phase
from deckdrum.testing.builders import build_state
from deckdrum.utils.virtualtime import run_virtual

APPLY_INTERVAL_S = 1.0
FAR_BEHIND = 30
#: Four unanswered probes.
MAX_WAIT_FOR_SILENT_S = 3.0


class WaitingDatabase(ObedientDatabase):
    """Database that never answers the order to promote."""

    def __init__(self, name: str, log_length: int = 10) -> None:
        super().__init__(name)
        self.log_length = log_length
        self.promoted_at: float | None = None

    async def fence(self, link: DatabaseLink, term: int) -> DatabaseState:
        """Return a state in which nothing is applied."""
        return self.build_state(applied=0)

    async def promote(self, link: DatabaseLink, term: int) -> DatabaseState:
        """Begin to promote, without an answer."""
        self.promotions.append(term)
        self.promoted_at = await curio.clock()
        await curio.sleep(1000)
        raise ConnectionResetError

    async def fetch_state(self, link: DatabaseLink) -> DatabaseState:
        """Return a state in which nothing is applied."""
        return self.build_state(applied=0)

    def build_state(self, applied: int) -> DatabaseState:
        """Return the state at a position."""
        is_done = applied >= self.log_length
        return build_state(
            role=Role.PRIMARY if is_done else Role.FENCED,
            term=2 if is_done else 1,
            fenced=2,
            received=self.log_length,
            applied=min(applied, self.log_length),
        )


class ApplyingDatabase(WaitingDatabase):
    """Database that applies one entry of its log a second."""

    async def fetch_state(self, link: DatabaseLink) -> DatabaseState:
        """Return the state, which becomes that of a primary."""
        if self.promoted_at is None:
            return self.build_state(applied=0)
        elapsed = await curio.clock() - self.promoted_at
        return self.build_state(int(elapsed / APPLY_INTERVAL_S))


class LeadingDatabase(WaitingDatabase):
    """Database that leads at once, but whose answer to the order is lost."""

    async def fetch_state(self, link: DatabaseLink) -> DatabaseState:
        """Return the state of a primary."""
        return self.build_state(self.log_length)


class SilentDatabase(WaitingDatabase):
    """Database that answers nothing after it was fenced."""

    async def fetch_state(self, link: DatabaseLink) -> DatabaseState:
        """Wait forever."""
        await curio.sleep(1000)
        raise ConnectionResetError


async def run_timed(
    store: MemoryStore, database: WaitingDatabase
) -> tuple[bool, float]:
    """Run a failover; return whether it is settled, and its duration."""
    started_at = await curio.clock()
    is_settled = await run_failover(build_view(store), [database])
    return is_settled, await curio.clock() - started_at


def test_promotion_in_progress_is_awaited() -> None:
    """A new failover would fence the database, and begin from the start."""
    store = MemoryStore()
    database = ApplyingDatabase('d1', FAR_BEHIND)
    is_settled, duration = run_virtual(run_timed, store, database)
    assert is_settled
    assert database.promotions == [2]
    assert (store.record.term, store.record.phase) == (2, Phase.SETTLED)
    assert duration < FAR_BEHIND * APPLY_INTERVAL_S + 1


def test_promotion_without_an_answer_is_seen() -> None:
    """Its effect shows in the state, over another connection."""
    store = MemoryStore()
    is_settled, duration = run_virtual(run_timed, store, LeadingDatabase('d1'))
    assert is_settled
    assert duration < 1


def test_silent_candidate_is_given_up() -> None:
    """The next failover may do without it."""
    is_settled, duration = run_virtual(
        run_timed, MemoryStore(), SilentDatabase('d1')
    )
    assert not is_settled
    assert duration < MAX_WAIT_FOR_SILENT_S


def test_stalled_promotion_is_given_up() -> None:
    """A database that answers probes may be unable to lead."""
    is_settled, duration = run_virtual(
        run_timed, MemoryStore(), WaitingDatabase('d1')
    )
    assert not is_settled
    assert duration < PROMOTION_STALLED_AFTER_S + 1


def test_promotion_is_given_up_after_a_takeover() -> None:
    """The record must not be settled, nor renewed, under another claim."""
    store = MemoryStore()
    claim = build_record(3, 'd1', Phase.FENCING, driver='p2')

    async def take_over() -> None:
        store.after_update = None
        store.version += 1
        store.body = claim.encode()

    store.after_update = take_over
    database = ApplyingDatabase('d1', FAR_BEHIND)
    is_settled, duration = run_virtual(run_timed, store, database)
    assert not is_settled
    assert store.record == claim
    assert duration < 2


def test_lost_answer_to_a_renewal_does_not_end_the_claim() -> None:
    """The renewal may have taken effect, so its version is the claim's."""
    store = MemoryStore()
    store.lost_answers = {2, 3}
    database = ApplyingDatabase('d1', FAR_BEHIND)
    is_settled, _ = run_virtual(run_timed, store, database)
    assert is_settled
    assert store.record.phase is Phase.SETTLED
