"""Proof that nodes pass on to each other."""

from collections.abc import Callable
from random import Random
from typing import Final, cast

import curio
import pytest

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.control import ControlStore, Member
from deckdrum.fleet.base import Message
from deckdrum.fleet.node_messages import AskProof, ProofAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.leadership.state import PROOF_LIFETIME_S, LeadershipState
from deckdrum.outcomes.errors import StoreError
from deckdrum.serving.proofs import ProofQuery, ProofSources
from deckdrum.sessions import Position
from deckdrum.testing.nodes import SERVICE, allocate_address
from deckdrum.utils import Address
from deckdrum.utils.counters import Counters
from deckdrum.utils.journal import open_null_journal
from deckdrum.utils.virtualtime import run_virtual

_SERVERS: Final = ('a', 'b', 'c')
_FENCED_AT_S: Final = 3.0
_MAX_HOP_S: Final = 0.3


class _SilentStore:
    """A store that never has an answer."""

    async def fetch(self, *_: object) -> None:
        raise StoreError('no answer')


class _Ring:
    """Nodes of which each one's collector is the next one.

    Nodes that see different members may pick each other.  The replicas give
    proof until they are fenced.
    """

    def __init__(self, seed: int, count: int, forgotten_age: float) -> None:
        self._randomness = Random(seed)
        self._forgotten_age = forgotten_age
        self.states: list[LeadershipState] = []
        self.sources: dict[Address, ProofSources] = {}
        for number in range(count):
            state = LeadershipState(SERVICE, open_null_journal(f'n{number}'))
            self.states.append(state)
            self.sources[allocate_address()] = ProofSources(
                state,
                self._build_queries(state),
                cast(ControlStore, _SilentStore()),
                cast(NodePeers, self),
                open_null_journal(f'n{number}'),
                Counters(),
            )
        addresses = list(self.sources)
        for number, sources in enumerate(self.sources.values()):
            address = addresses[(number + 1) % count]
            sources.collector = Member(f'm{number}', str(address), 'hall', 'r')

    async def start(self) -> None:
        """Make all nodes know the servers and the primary."""
        leads = ServerStatus(ServerRole.PRIMARY, 1, Position(1, 1), 0)
        for state in self.states:
            await state.apply_servers(_SERVERS)
            await state.record_status('a', leads, 0)

    async def stop(self) -> None:
        """Stop asking, and wait until the renewals in progress have ended."""
        for sources in self.sources.values():
            sources.collector = None
        await curio.sleep(10 * _MAX_HOP_S)

    async def ask(self, address: Address, request: AskProof) -> Message:
        """Pass a question to a node; both ways take their time."""
        await curio.sleep(self._randomness.uniform(0, _MAX_HOP_S))
        age = await self.sources[address].fetch_age(request.term)
        await curio.sleep(self._randomness.uniform(0, _MAX_HOP_S))
        return ProofAnswer(
            max(0, age - self._forgotten_age) if age >= 0 else age
        )

    def _build_queries(
        self, state: LeadershipState
    ) -> Callable[[], list[ProofQuery]]:
        async def query() -> None:
            asked_at = await curio.clock()
            fenced_term = 0 if asked_at < _FENCED_AT_S else 2
            await curio.sleep(self._randomness.uniform(0, _MAX_HOP_S))
            status = ServerStatus(
                ServerRole.REPLICA, 1, Position(1, 1), fenced_term
            )
            # A lost answer leaves the older proof in place.
            if not fenced_term or self._randomness.random() < 0.5:
                await state.record_status('b', status, asked_at)

        return lambda: [query]


async def _find_last_use(seed: int, forgotten_age: float = 0) -> float:
    """Return when the last node stops using the primary, in seconds.

    Answers understate the age of a proof by `forgotten_age` seconds.
    """
    ring = _Ring(seed, 4, forgotten_age)
    await ring.start()
    last_use: float = 0
    async with curio.ignore_after(_FENCED_AT_S + 10):
        while True:
            async with curio.TaskGroup() as renewing:
                for sources in ring.sources.values():
                    await renewing.spawn(sources.renew)
            now = await curio.clock()
            if any(state.is_primary_usable(now) for state in ring.states):
                last_use = now
            await curio.sleep(0.02)
    await ring.stop()
    return last_use


@pytest.mark.parametrize('seed', range(20))
def test_passing_proof_on_does_not_prolong_it(seed: int) -> None:
    """A change waits for one lifetime after fencing, for all nodes together."""
    last_use = run_virtual(_find_last_use, seed)
    assert _FENCED_AT_S < last_use < _FENCED_AT_S + PROOF_LIFETIME_S


def test_understated_age_prolongs_proof() -> None:
    """Verifies that the check above can fail."""
    limit = _FENCED_AT_S + PROOF_LIFETIME_S
    assert any(
        run_virtual(_find_last_use, seed, 0.8) > limit for seed in range(5)
    )


def test_node_with_one_server_passes_no_proof_on() -> None:
    """It needs none itself, but those that list more servers do."""

    async def scenario() -> None:
        ring = _Ring(0, 2, 0)
        await ring.start()
        await ring.states[1].apply_servers(_SERVERS[:1])
        await curio.sleep(_FENCED_AT_S + PROOF_LIFETIME_S)
        await next(iter(ring.sources.values())).renew()
        now = await curio.clock()
        await ring.stop()
        assert not ring.states[0].is_primary_usable(now)

    run_virtual(scenario)
