"""Proofs of a term, and what the log tells of them."""

import io
import json

import curio

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.leadership.proof import NO_PROOF, ProofKind, TermProofs
from deckdrum.leadership.state import LeadershipState
from deckdrum.sessions import Position
from deckdrum.utils import open_journal


def test_older_proof_of_a_replica_does_not_replace_a_newer_one() -> None:
    proofs = TermProofs()
    proofs.required = 1
    proofs.record_replica(ProofKind.STATUS, 'b', 2.0)
    proofs.record_replica(ProofKind.REPLICATION, 'b', 1.0)
    assert proofs.find('a').asked_at == 2.0


def test_primary_gives_no_proof_of_its_own_term() -> None:
    proofs = TermProofs()
    proofs.required = 1
    proofs.record_replica(ProofKind.STATUS, 'a', 1.0)
    assert proofs.find('a') is NO_PROOF


def test_log_tells_on_which_proof_a_primary_was_used() -> None:
    lines = io.StringIO()
    state = LeadershipState('stalls', open_journal('n1', lines))

    async def main() -> None:
        await state.apply_servers(('a', 'b', 'c'))
        for name, role in (
            ('a', ServerRole.PRIMARY),
            ('b', ServerRole.REPLICA),
        ):
            status = ServerStatus(role, 1, Position(1, 5), 0)
            await state.record_status(name, status, 10.0)
        state.log_use(10.4)
        state.log_use(10.5)

    curio.run(main)
    logged = [json.loads(line) for line in lines.getvalue().splitlines()]
    used = [line for line in logged if line['event'] == 'leadership.used']
    assert len(used) == 1
    proof = [used[0][name] for name in ('proof', 'proof_source', 'proof_age')]
    assert proof == ['status', 'b', 0.4]
