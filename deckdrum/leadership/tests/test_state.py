"""Leadership state of a node: proof, its expiry, and primary changes."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.leadership.state import PROOF_LIFETIME_S, LeadershipState
from deckdrum.sessions import Position
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.utils.journal import open_null_journal

#: Servers of a group, proofs required, and fenced replicas required.
REQUIRED_COUNTS = (
    (1, 0, 1),
    (2, 1, 1),
    (3, 1, 2),
    (4, 2, 2),
    (5, 2, 3),
)


def build_status(**fields: Any) -> ServerStatus:
    """Return the status of an unfenced replica of term 1."""
    defaults: dict[str, Any] = {
        'role': ServerRole.REPLICA,
        'term': 1,
        'received': Position(1, 5),
        'fenced_term': 0,
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
    """Run a scenario with three servers, of which 'a' is the primary."""

    async def main() -> None:
        state = LeadershipState('stalls', open_null_journal('n1'))
        await state.apply_servers(('a', 'b', 'c'))
        leading = build_status(role=ServerRole.PRIMARY)
        await state.record_status('a', leading, 10.0)
        await scenario(state)

    curio.run(main)


def test_primary_without_proof_is_not_used() -> None:
    async def scenario(state: LeadershipState) -> None:
        assert state.primary == 'a'
        assert not state.is_primary_usable(10.0)

    run(scenario)


def test_proof_of_one_replica_expires() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.record_status('b', build_status(), 10.0)
        assert state.is_primary_usable(10.0 + PROOF_LIFETIME_S - 0.01)
        assert not state.is_primary_usable(10.0 + PROOF_LIFETIME_S)

    run(scenario)


def test_fenced_replica_gives_no_proof() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.record_status('b', build_status(fenced_term=2), 10.0)
        assert not state.is_primary_usable(10.0)

    run(scenario)


def test_fencing_a_replica_withdraws_its_proof() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.record_status('b', build_status(), 10.0)
        await state.record_status('b', build_status(fenced_term=2), 10.1)
        assert not state.is_primary_usable(10.1)

    run(scenario)


def test_claim_ends_the_term_and_settling_begins_the_next() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.record_status('b', build_status(), 10.0)
        await state.apply_record(5, build_record())
        assert not state.is_primary_usable(10.0)
        assert state.can_acknowledge(1, 10.0)
        settled = build_record(primary='b', phase=Phase.SETTLED)
        await state.apply_record(6, settled)
        assert (state.term, state.primary) == (2, 'b')

    run(scenario)


def test_no_write_is_acknowledged_after_the_end_is_confirmed() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.record_status('b', build_status(), 10.0)
        await state.end_term(1, 'a test')
        state.close_term(1)
        assert not state.can_acknowledge(1, 10.0)

    run(scenario)


def test_older_record_is_ignored() -> None:
    async def scenario(state: LeadershipState) -> None:
        settled = build_record(primary='b', phase=Phase.SETTLED)
        await state.apply_record(6, settled)
        await state.apply_record(5, build_record())
        assert state.has_primary

    run(scenario)


def test_former_primary_that_returns_is_ignored() -> None:
    async def scenario(state: LeadershipState) -> None:
        settled = build_record(primary='b', phase=Phase.SETTLED)
        await state.apply_record(6, settled)
        leading = build_status(role=ServerRole.PRIMARY)
        await state.record_status('a', leading, 11.0)
        assert state.primary == 'b'

    run(scenario)


def test_abandoned_change_restores_the_term() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.apply_record(5, build_record())
        state.close_term(1)
        reverted = build_record(term=1, primary='a', phase=Phase.SETTLED)
        await state.apply_record(6, reverted)
        await state.record_status('b', build_status(), 12.0)
        assert state.is_primary_usable(12.0)
        assert state.can_acknowledge(1, 12.0)

    run(scenario)


def test_replica_of_a_later_term_ends_the_known_one() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.record_status('b', build_status(term=2), 11.0)
        assert not state.has_primary

    run(scenario)


def test_store_proves_when_replicas_cannot() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.record_store_answer(0, None, 10.0)
        assert state.is_primary_usable(10.5)
        await state.apply_record(5, build_record())
        assert not state.is_primary_usable(10.5)

    run(scenario)


@pytest.mark.parametrize(
    ('servers', 'proofs', 'fenced'),
    REQUIRED_COUNTS,
)
def test_required_proofs_and_fenced_replicas_overlap(
    servers: int,
    proofs: int,
    fenced: int,
) -> None:
    async def main() -> None:
        state = LeadershipState('stalls', open_null_journal('n1'))
        await state.apply_servers(map(str, range(servers)))
        assert state.required_proofs == proofs
        assert state.required_fenced_replicas == fenced
        if servers > 1:
            assert proofs + fenced > servers - 1

    curio.run(main)


def test_replica_that_received_a_change_gives_proof_as_of_before_it() -> None:
    async def scenario(state: LeadershipState) -> None:
        state.record_replicated_change('b', 1, 10.0)
        assert state.is_primary_usable(10.0 + PROOF_LIFETIME_S - 0.01)
        assert not state.is_primary_usable(10.0 + PROOF_LIFETIME_S)

    run(scenario)


@pytest.mark.parametrize(('name', 'term'), [('a', 1), ('b', 2), ('b', 0)])
def test_change_of_the_primary_or_of_another_term_is_no_proof(
    name: str,
    term: int,
) -> None:
    async def scenario(state: LeadershipState) -> None:
        state.record_replicated_change(name, term, 10.0)
        assert not state.is_primary_usable(10.0)

    run(scenario)


def test_older_record_of_an_abandoned_change_reopens_nothing() -> None:
    """A node may learn of a later claim before it reads an older record."""

    async def scenario(state: LeadershipState) -> None:
        await state.record_status('b', build_status(), 10.0)
        await state.end_term(1, 'a later claim', fencing_token=7)
        state.close_term(1)
        reverted = build_record(term=1, primary='a', phase=Phase.SETTLED)
        await state.apply_record(6, reverted)
        assert not state.is_primary_usable(10.0)
        assert not state.can_acknowledge(1, 10.0)
        await state.apply_record(8, reverted)
        assert state.is_primary_usable(10.0)

    run(scenario)


def test_abandoned_change_of_a_passed_term_reopens_nothing() -> None:
    async def scenario(state: LeadershipState) -> None:
        await state.record_status('b', build_status(term=2), 10.0)
        reverted = build_record(term=1, phase=Phase.SETTLED)
        await state.apply_record(6, reverted)
        assert not state.has_primary

    run(scenario)
