"""Belief in a primary: proof, its end, and changes."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.leadership.state import PROOF_LIFETIME_S, LeadershipState
from deckdrum.sessions import Position
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.utils.journal import silent_journal

#: Servers of a group, proofs and holds needed.
PROOFS_AND_HOLDS = (
    (1, 0, 1),
    (2, 1, 1),
    (3, 1, 2),
    (4, 2, 2),
    (5, 2, 3),
)


def build_status(**fields: Any) -> ServerStatus:
    """Return the state of a replica of term 1 that does not hold."""
    defaults: dict[str, Any] = {
        'role': ServerRole.REPLICA,
        'term': 1,
        'received': Position(1, 5),
        'held_term': 0,
    }
    return ServerStatus(**(defaults | fields))


def build_record(**fields: Any) -> GroupRecord:
    """Return the record of a claimed change to term 2."""
    defaults: dict[str, Any] = {
        'service': 'stalls',
        'term': 2,
        'primary': '',
        'phase': Phase.FENCING,
        'operation': 'x',
    }
    return GroupRecord(**(defaults | fields))


def run(scenario: Callable[[LeadershipState], Awaitable[None]]) -> None:
    """Run a scenario on the belief of three servers led by 'a'."""

    async def main() -> None:
        leadership_state = LeadershipState('stalls', silent_journal('n1'))
        await leadership_state.adopt_servers(('a', 'b', 'c'))
        leading = build_status(role=ServerRole.PRIMARY)
        await leadership_state.record_status('a', leading, 10.0)
        await scenario(leadership_state)

    curio.run(main)


def test_primary_without_proof_is_not_used() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        assert leadership_state.primary == 'a'
        assert not leadership_state.is_primary_usable(10.0)

    run(scenario)


def test_proof_of_one_replica_is_good_for_a_while() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_status('b', build_status(), 10.0)
        assert leadership_state.is_primary_usable(
            10.0 + PROOF_LIFETIME_S - 0.01
        )
        assert not leadership_state.is_primary_usable(10.0 + PROOF_LIFETIME_S)

    run(scenario)


def test_holding_replica_gives_no_proof() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_status(
            'b', build_status(held_term=2), 10.0
        )
        assert not leadership_state.is_primary_usable(10.0)

    run(scenario)


def test_replica_that_begins_to_hold_withdraws_its_proof() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_status('b', build_status(), 10.0)
        await leadership_state.record_status(
            'b', build_status(held_term=2), 10.1
        )
        assert not leadership_state.is_primary_usable(10.1)

    run(scenario)


def test_claim_ends_the_use_and_settling_begins_the_next() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_status('b', build_status(), 10.0)
        await leadership_state.adopt_record(5, build_record())
        assert not leadership_state.is_primary_usable(10.0)
        assert leadership_state.can_acknowledge(1, 10.0)
        settled = build_record(primary='b', phase=Phase.SETTLED)
        await leadership_state.adopt_record(6, settled)
        assert (leadership_state.term, leadership_state.primary) == (2, 'b')

    run(scenario)


def test_confirmed_end_releases_no_change() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_status('b', build_status(), 10.0)
        await leadership_state.end_term(1, 'a test')
        leadership_state.close_term(1)
        assert not leadership_state.can_acknowledge(1, 10.0)

    run(scenario)


def test_older_record_changes_nothing() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        settled = build_record(primary='b', phase=Phase.SETTLED)
        await leadership_state.adopt_record(6, settled)
        await leadership_state.adopt_record(5, build_record())
        assert leadership_state.has_primary

    run(scenario)


def test_old_primary_that_returns_is_not_believed() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        settled = build_record(primary='b', phase=Phase.SETTLED)
        await leadership_state.adopt_record(6, settled)
        leading = build_status(role=ServerRole.PRIMARY)
        await leadership_state.record_status('a', leading, 11.0)
        assert leadership_state.primary == 'b'

    run(scenario)


def test_change_that_was_given_up_restores_the_term() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.adopt_record(5, build_record())
        leadership_state.close_term(1)
        back = build_record(term=1, primary='a', phase=Phase.SETTLED)
        await leadership_state.adopt_record(6, back)
        await leadership_state.record_status('b', build_status(), 12.0)
        assert leadership_state.is_primary_usable(12.0)
        assert leadership_state.can_acknowledge(1, 12.0)

    run(scenario)


def test_replica_of_a_later_term_ends_the_known_one() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_status('b', build_status(term=2), 11.0)
        assert not leadership_state.has_primary

    run(scenario)


def test_store_proves_when_replicas_cannot() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_store_answer(0, None, 10.0)
        assert leadership_state.is_primary_usable(10.5)
        await leadership_state.adopt_record(5, build_record())
        assert not leadership_state.is_primary_usable(10.5)

    run(scenario)


@pytest.mark.parametrize(
    ('servers', 'proofs', 'holds'),
    PROOFS_AND_HOLDS,
)
def test_proofs_and_holds_always_meet(
    servers: int,
    proofs: int,
    holds: int,
) -> None:
    async def main() -> None:
        leadership_state = LeadershipState('stalls', silent_journal('n1'))
        await leadership_state.adopt_servers(map(str, range(servers)))
        assert leadership_state.required_proofs == proofs
        assert leadership_state.required_fenced_replicas == holds
        if servers > 1:
            assert proofs + holds > servers - 1

    curio.run(main)


def test_replica_that_received_a_change_gives_proof_as_of_before_it() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        leadership_state.record_replicated_change('b', 1, 10.0)
        assert leadership_state.is_primary_usable(
            10.0 + PROOF_LIFETIME_S - 0.01
        )
        assert not leadership_state.is_primary_usable(10.0 + PROOF_LIFETIME_S)

    run(scenario)


@pytest.mark.parametrize(('name', 'term'), [('a', 1), ('b', 2), ('b', 0)])
def test_change_of_the_primary_or_of_another_term_is_no_proof(
    name: str,
    term: int,
) -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        leadership_state.record_replicated_change(name, term, 10.0)
        assert not leadership_state.is_primary_usable(10.0)

    run(scenario)


def test_older_word_that_a_change_was_given_up_reopens_nothing() -> None:
    """The end that a later claim asks for comes before the record does."""

    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_status('b', build_status(), 10.0)
        await leadership_state.end_term(1, 'a later claim', fence=7)
        leadership_state.close_term(1)
        back = build_record(term=1, primary='a', phase=Phase.SETTLED)
        await leadership_state.adopt_record(6, back)
        assert not leadership_state.is_primary_usable(10.0)
        assert not leadership_state.can_acknowledge(1, 10.0)
        await leadership_state.adopt_record(8, back)
        assert leadership_state.is_primary_usable(10.0)

    run(scenario)


def test_given_up_change_of_a_passed_term_reopens_nothing() -> None:
    async def scenario(leadership_state: LeadershipState) -> None:
        await leadership_state.record_status('b', build_status(term=2), 10.0)
        back = build_record(term=1, phase=Phase.SETTLED)
        await leadership_state.adopt_record(6, back)
        assert not leadership_state.has_primary

    run(scenario)
