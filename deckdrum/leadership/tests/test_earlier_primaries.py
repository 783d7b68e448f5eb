"""Records that must not bring back a primary that was replaced."""

import pytest

from deckdrum.backends import ServerRole
from deckdrum.leadership.context import PrimaryChangeReport
from deckdrum.leadership.record_store import LeadershipRecordStore
from deckdrum.leadership.state import LeadershipState
from deckdrum.leadership.tests.test_state import build_record, build_status, run
from deckdrum.store.records import Phase
from deckdrum.testing.nodes import SERVICE, Deployment, run_scenario


def test_late_record_does_not_bring_an_earlier_primary_back() -> None:
    """A node heard of the later term from its server, then lost that server."""

    async def scenario(state: LeadershipState) -> None:
        leads = build_status(role=ServerRole.PRIMARY, term=3)
        await state.record_status('c', leads, 10.0)
        await state.clear_primary('c', 'removed from the server directory')
        settled = build_record(primary='b', phase=Phase.SETTLED)
        await state.apply_record(6, settled)
        assert state.primary != 'b'
        assert state.term == 3

    run(scenario)


def test_abandoned_change_resumes_no_term_below_a_later_one() -> None:
    """A replica follows a later term, whose primary this node can't see."""

    async def scenario(state: LeadershipState) -> None:
        await state.apply_record(5, build_record())
        await state.record_status('b', build_status(term=2), 10.0)
        resumed = build_record(term=1, primary='a', phase=Phase.SETTLED)
        await state.apply_record(6, resumed)
        await state.record_store_answer(6, resumed, 10.1)
        assert not state.is_primary_usable(10.1)

    run(scenario)


@pytest.mark.parametrize('is_listed', [True, False])
def test_abandoned_change_records_the_term_that_was_led(
    is_listed: bool,
) -> None:
    """The claim's number skips terms that another server may lead."""

    async def scenario(deployment: Deployment) -> None:
        former = deployment.group.primary.name
        node = deployment.nodes[0].node
        runtime = node.services[SERVICE]
        # A replica was seen to follow a later term.
        runtime.leadership_state.highest_seen_term = 2
        if not is_listed:
            await runtime.leadership_state.clear_primary(former, 'a test')
        report = PrimaryChangeReport(SERVICE, former, 'lost', is_planned=False)
        records = LeadershipRecordStore(runtime, node.tools)
        claim = await records.claim(report)
        assert claim is not None
        await records.revert(report, claim)
        stored = deployment.store.read('deckdrum-leadership', SERVICE)
        assert (stored['term'], stored['primary']) == (1, former)

    run_scenario(scenario)


def test_record_of_a_slow_first_write_replaces_none() -> None:
    """The store may carry out a call seconds after it was sent."""

    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        runtime = node.services[SERVICE]
        records = LeadershipRecordStore(runtime, node.tools)
        await deployment.store.write(
            'deckdrum-leadership',
            SERVICE,
            {
                'service': SERVICE,
                'term': 2,
                'primary': f'i-{SERVICE}-2',
                'phase': Phase.SETTLED.value,
                'operation': 'later',
                'driver': 'n9',
                'former': f'i-{SERVICE}-1',
            },
        )
        await records.create_initial()
        stored = deployment.store.read('deckdrum-leadership', SERVICE)
        assert stored['primary'] == f'i-{SERVICE}-2'

    run_scenario(scenario)


def test_settling_by_an_outdated_view_changes_nothing() -> None:
    """Another node's later claim is in the store, but not known here yet."""

    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        runtime = node.services[SERVICE]
        records = LeadershipRecordStore(runtime, node.tools)
        report = PrimaryChangeReport(
            SERVICE, deployment.group.primary.name, 'lost', is_planned=False
        )
        claim = await records.claim(report)
        assert claim is not None
        later = deployment.store.read('deckdrum-leadership', SERVICE) | {
            'term': 3,
            'operation': 'later',
            'driver': 'n9',
        }
        await deployment.store.write('deckdrum-leadership', SERVICE, later)
        await records.revert(report, claim)
        stored = deployment.store.read('deckdrum-leadership', SERVICE)
        assert stored['operation'] == 'later'

    run_scenario(scenario)
