"""What a driver does to the group record, and when it may."""

from deckdrum.failover import FailoverReport
from deckdrum.failover.tests.builders import (
    NAMES,
    SERVICE,
    MemoryStore,
    ObedientDatabase,
    build_driver,
    build_record,
    build_view,
)
from deckdrum.store.records import Phase
from deckdrum.store.view import StoreView, VersionedRecord
from deckdrum.utils.virtualtime import run_virtual


def run_failover(view: StoreView, databases: list[ObedientDatabase]) -> bool:
    """Run a failover of the known record; return whether it is settled."""
    driver = build_driver(view, databases)
    report = FailoverReport(SERVICE, 2, 'p1', 'd1', 'test')
    return run_virtual(driver.run_failover, view.records[SERVICE], report)


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
    assert not run_failover(view, databases)
    assert store.record == build_record(3, 'd1', Phase.FENCING, driver='p2')
    assert not any(each.promotions for each in databases)


def test_refused_settlement_is_repeated() -> None:
    """Otherwise the primary that was just promoted would be replaced."""
    store = MemoryStore()
    store.refused_updates = {2, 3}
    view = build_view(store)
    databases = [ObedientDatabase(name) for name in NAMES]
    assert run_failover(view, databases)
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
    assert not run_failover(view, databases)
    assert store.record.driver == 'p2'
    assert store.updates == 2
