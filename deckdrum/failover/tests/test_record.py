"""What a driver does to the group record, and when it may."""

from deckdrum.failover.tests.builders import (
    NAMES,
    MemoryStore,
    ObedientDatabase,
    build_record,
    build_view,
    run_failover,
)
from deckdrum.store.records import Phase
from deckdrum.store.view import VersionedRecord
from deckdrum.utils.virtualtime import run_virtual


def test_driver_does_not_settle_the_claim_of_another() -> None:
    """A frozen driver may learn of the takeover before its own claim."""
    store = MemoryStore()
    view = build_view(store)
    databases = [ObedientDatabase(name) for name in NAMES]

    async def take_over() -> None:
        store.after_update = None
        record = build_record(3, 'd1', Phase.FENCING, driver='p2')
        store.version += 1
        store.body = record.encode()
        view.apply_record(VersionedRecord(store.version, record))

    store.after_update = take_over
    assert not run_virtual(run_failover, view, databases)
    assert store.record == build_record(3, 'd1', Phase.FENCING, driver='p2')
    assert not any(each.promotions for each in databases)


def test_refused_settlement_is_repeated() -> None:
    """Otherwise the primary that was just promoted would be replaced."""
    store = MemoryStore()
    store.refused_updates = {2, 3}
    view = build_view(store)
    databases = [ObedientDatabase(name) for name in NAMES]
    assert run_virtual(run_failover, view, databases)
    assert (store.record.term, store.record.phase) == (2, Phase.SETTLED)


def test_settlement_ends_once_another_driver_has_claimed() -> None:
    """Its conditional update could never succeed."""
    store = MemoryStore()
    store.refused_updates = {2}
    view = build_view(store)
    databases = [ObedientDatabase(name) for name in NAMES]

    async def take_over() -> None:
        store.after_update = None
        store.version += 1
        store.body = build_record(3, 'd1', Phase.FENCING, 'p2').encode()

    store.after_update = take_over
    assert not run_virtual(run_failover, view, databases)
    assert store.record.driver == 'p2'
    assert store.updates == 2


def test_takeover_fences_the_former_primary_if_its_successor_is_lost() -> None:
    """Two of three are needed, and an unfinished claim names one of them."""
    store = MemoryStore()
    store.body = build_record(2, 'd1', Phase.FENCING, driver='p2').encode()
    databases = [ObedientDatabase(name) for name in NAMES]
    databases[1].is_lost = True
    assert run_virtual(run_failover, build_view(store), databases)
    assert store.record.term == 3
    assert store.record.primary in {'d1', 'd3'}
