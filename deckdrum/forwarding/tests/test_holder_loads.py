"""Choice of a holder by the waits that holders report."""

from types import SimpleNamespace
from typing import Any, cast

import curio
import pytest

from deckdrum.control import Member
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.node_messages import Forward
from deckdrum.forwarding.encoding import encode_outcome
from deckdrum.forwarding.holder_loads import HolderLoads, measure_load
from deckdrum.outcomes import Code, refuse
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.testing.nodes import CURRENT, SERVICE, Deployment, run_scenario
from deckdrum.utils.counters import Counters

FIRST = Member('n1', 'a:1', 'ba-hall', 'r1', capacity=2)
SECOND = Member('n2', 'b:1', 'ba-hall', 'r2', capacity=2)
EARLIER = Member('n3', 'c:1', 'ba-hall', 'r3')
HOLDERS = [FIRST, SECOND, EARLIER]
BUSY = (80.0, 80.0)


def build_loads(
    *, is_uneven: bool = True, is_holder: bool = False
) -> HolderLoads:
    """Return the loads at a node; a holder has no statements of its own."""
    allocator = SimpleNamespace(
        is_holder=is_holder, find_holders=lambda workspace: HOLDERS
    )
    runtime: Any = SimpleNamespace(
        is_uneven=is_uneven,
        counters=Counters(),
        allocator=allocator,
        primary=None,
        replicas=[],
    )
    return HolderLoads(cast(ServiceRuntime, runtime), 'ba-hall')


def choose(loads: HolderLoads, now: float) -> Member | None:
    """Return the choice for a change of a workspace."""
    return loads.choose(HOLDERS, 'growers', now, uses_primary=True)


def test_busy_holder_is_preferred_again_once_its_reports_stop() -> None:
    # Failure: reports stop, and the holder is avoided for ever.
    loads = build_loads()
    loads.record(FIRST, BUSY, now=5)
    assert choose(loads, now=5.1) == SECOND
    assert choose(loads, now=6) == FIRST


@pytest.mark.parametrize('load', [(-1, -1), (1e300, 0), (float('nan'), 0)])
def test_invalid_report_replaces_the_earlier_one(
    load: tuple[float, ...],
) -> None:
    # Failure: an invalid report keeps or makes a preference.
    loads = build_loads()
    loads.record(FIRST, BUSY, now=5)
    loads.record(FIRST, load, now=5.1)
    assert choose(loads, now=5.1) == FIRST


def test_reports_are_ignored_in_an_even_fleet() -> None:
    # Failure: the choice changes where it is specified to stay as it was.
    loads = build_loads(is_uneven=False)
    loads.record(FIRST, BUSY, now=5)
    assert choose(loads, now=5) == FIRST
    runtime: Any = SimpleNamespace(is_uneven=False)
    assert not measure_load(cast(ServiceRuntime, runtime), now=5)


def test_idle_holder_runs_a_statement_itself_if_others_are_busy() -> None:
    # Failure: a holder forwards statements to busier ones of a higher rank.
    loads = build_loads(is_holder=True)
    assert choose(loads, now=5) == FIRST
    for holder in HOLDERS:
        loads.record(holder, BUSY, now=5)
    assert (
        loads.choose([FIRST, SECOND], 'growers', 5, uses_primary=True) is None
    )


def test_node_of_an_earlier_version_is_not_taken_for_free() -> None:
    # Failure: such a node never reports load, so it would get all rejections.
    loads = build_loads()
    loads.record(EARLIER, (), now=5)
    assert loads.find_free(HOLDERS, '', 5, 0.1, uses_primary=True) is None
    loads.record(SECOND, (), now=5)
    assert loads.find_free(HOLDERS, '', 5.4, 0.1, uses_primary=True) == SECOND
    assert loads.find_free(HOLDERS, '', 5.6, 0.1, uses_primary=True) is None


async def _reject(channel: StreamChannel, _: Forward) -> None:
    refusal = refuse(Code.QUEUE_FULL, 'the group is full')
    await channel.send(encode_outcome(refusal, is_open=False, load=(2, 2)))


@pytest.mark.parametrize(('capacity', 'is_done'), [(4, True), (1, False)])
def test_rejected_statement_goes_to_one_other_holder_with_free_capacity(
    capacity: float, is_done: bool
) -> None:
    # Failure: the queue of one holder is full and another holder is idle.
    async def scenario(deployment: Deployment) -> None:
        caller = next(
            running
            for running in deployment.nodes
            if not running.node.services[SERVICE].allocator.is_holder
        )
        runtime = caller.node.services[SERVICE]
        first = runtime.allocator.others[0].name
        for running in deployment.nodes:
            if running.node.settings.name == first:
                running.node.peers.run_forwarded_statement = _reject
        number = deployment.nodes.index(caller)
        client = await deployment.connect(CURRENT, number)
        assert not (await client.ask('WRITE a 1')).is_done
        assert (await client.ask('WRITE a 2')).is_done is is_done
        await curio.sleep(0.3)
        assert (await client.ask('WRITE a 3')).is_done is is_done
        assert runtime.counters.events['rejections_forwarded'] == is_done
        assert len(deployment.group.primary.log) == 2 * is_done

    run_scenario(
        scenario,
        nodes=12,
        max_connections=9,
        settle=2.5,
        capacities=(1.0,) * 11 + (capacity,),
    )
