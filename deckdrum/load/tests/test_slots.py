"""Shares and leases of a server's slots, replayed without messages."""

import itertools
from random import Random

import pytest

from deckdrum.load.slots import (
    LEASE_LIFETIME_S,
    GateEntry,
    SlotDemand,
    SlotLease,
    SpareLedger,
    compute_bound,
    compute_part,
    compute_spare,
    count_preferred,
    select_admitted,
    share_spare,
)

HOLDERS = ('n1', 'n2', 'n3')


@pytest.mark.parametrize('slots', [1, 2, 4, 7, 16, 64])
@pytest.mark.parametrize('holders', [1, 2, 3, 9, 58])
def test_parts_and_spare_make_up_the_bound(slots: int, holders: int) -> None:
    part = compute_part(slots, holders)
    spare = compute_spare(slots, holders)
    assert part >= 1
    assert spare >= 0
    assert part * holders + spare == compute_bound(slots, holders)


def test_invalid_demands_do_not_increase_the_shares() -> None:
    demands = {
        'n1': SlotDemand(-5, urgent=-5),
        'n2': SlotDemand(10**12, urgent=10**12),
        'n3': SlotDemand(3, urgent=9),
    }
    shares = share_spare(4, 1, demands)
    assert shares == {'n1': 0, 'n2': 2, 'n3': 2}


@pytest.mark.parametrize('seed', range(5))
def test_leases_never_exceed_the_spare_slots(seed: int) -> None:
    randomness = Random(seed)
    ledger = SpareLedger(slots=7, holders=3, lends_from=0)
    spare = compute_spare(7, 3)
    lent: dict[str, list[SlotLease]] = {name: [] for name in HOLDERS}
    now: float = 0
    for _ in range(3000):
        now += randomness.expovariate(100)
        name = randomness.choice(HOLDERS)
        demand = SlotDemand(randomness.randrange(9), randomness.randrange(3))
        # The answer may be lost: every lease counts until its own end.
        lent[name].append(ledger.lend(name, demand, now))
        usable = [
            max([each.amount for each in leases if now < each.end], default=0)
            for leases in lent.values()
        ]
        assert sum(usable) <= spare


def test_few_spare_slots_go_around() -> None:
    ledger = SpareLedger(slots=4, holders=3, lends_from=0)
    seconds = dict.fromkeys(HOLDERS, float(0))
    step = 0.01
    for number, name in itertools.product(range(1000), HOLDERS):
        lease = ledger.lend(name, SlotDemand(9), number * step)
        seconds[name] += lease.amount * step
    assert min(seconds.values()) > 0.9 * max(seconds.values())


def test_slots_of_unanswered_statements_are_not_lent() -> None:
    ledger = SpareLedger(slots=4, holders=3, lends_from=0)
    assert ledger.lend('n1', SlotDemand(3, in_flight=3), 0).amount == 2
    later = LEASE_LIFETIME_S - 0.01
    ledger.lend('n1', SlotDemand(3, in_flight=3), later)
    # n2 has had no lease, so that of n1 is not prolonged any more.
    ledger.lend('n2', SlotDemand(9), later)
    ledger.lend('n1', SlotDemand(3, in_flight=3), later + 0.2)
    assert not ledger.lend('n2', SlotDemand(9), later + 0.3).amount


def test_burst_of_urgent_statements_leaves_an_eighth() -> None:
    waiting = [GateEntry(2) for _ in range(10)]
    admitted = []
    preferred = 0
    for _ in range(80):
        waiting.append(GateEntry(0))
        index = select_admitted(waiting, preferred)
        preferred = count_preferred(waiting, index, preferred)
        admitted.append(waiting.pop(index).priority)
    assert admitted.count(2) == 10
