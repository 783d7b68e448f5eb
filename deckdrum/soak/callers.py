"""Callers of a soak: sessions that read and write at any node."""

from collections.abc import Sequence
from random import Random
from typing import Final

import curio

from deckdrum.soak.processes import NodeProcess
from deckdrum.soak.records import Attempt, Fate
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN_WRITES,
    LineClient,
    Reply,
)

_DATABASES: Final = (CURRENT, BOUNDED, OWN_WRITES)
#: Errors that promise that nothing of the attempt is kept.
_NOT_COMMITTED_CODES: Final = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'),
)
#: Pause after an attempt without success, and longest between two, in s.
_RETRY_PAUSE: Final = 0.1
_LONGEST_PAUSE: Final = 0.05
#: Most operations of one session, and statements of one transaction.
_MOST_OPERATIONS: Final = 20
_MOST_STATEMENTS: Final = 3
#: Number of things that are read and written.
_THINGS: Final = 1000
#: Parts of the operations that are transactions, that write, that roll back.
_TRANSACTIONS: Final = 0.3
_WRITES: Final = 0.4
_ROLLBACKS: Final = 0.2


class Caller:
    """One caller, with one session after the other.

    Parameters
    ----------
    name : str
        Unique in the soak.
    nodes : sequence of NodeProcess
        Where it connects.
    randomness : random.Random
        Draws what it does.
    """

    def __init__(
        self,
        name: str,
        nodes: Sequence[NodeProcess],
        randomness: Random,
    ) -> None:
        self.attempts: list[Attempt] = []
        #: Names of the nodes that have served it, with the latest time.
        self.last_served_at: dict[str, float] = {}
        self.is_over = False
        self._name = name
        self._nodes = nodes
        self._randomness = randomness
        self._sessions = 0
        self._asked = 0

    async def run(self) -> None:
        """Open sessions until the soak is over."""
        while not self.is_over:
            node = self._randomness.choice(self._nodes)
            try:
                await self._run_session(node)
            except (ConnectionError, curio.TaskTimeout):
                # The node is gone or silent; another one may serve.
                await curio.sleep(_RETRY_PAUSE)

    async def _run_session(self, node: NodeProcess) -> None:
        self._sessions += 1
        session = f'{self._name}s{self._sessions}'
        database = self._randomness.choice(_DATABASES)
        client = await LineClient.connect(node.clients_address, database)
        try:
            if client.greeting.state != 'I':
                return
            await self._ask(client, f'SET colour {session}', None)
            for _ in range(self._randomness.randint(1, _MOST_OPERATIONS)):
                attempt = await self._run_attempt(client, session, database)
                if self.is_over or attempt.fate is not Fate.DONE:
                    return
                self.last_served_at[node.name] = attempt.ended_at
                pause = self._randomness.random() * _LONGEST_PAUSE
                await curio.sleep(pause)
        finally:
            await client.close()

    async def _run_attempt(
        self,
        client: LineClient,
        session: str,
        database: str,
    ) -> Attempt:
        attempt = Attempt(session, database)
        self.attempts.append(attempt)
        attempt.began_at = await curio.clock()
        if self._randomness.random() < _TRANSACTIONS:
            attempt.fate = Fate.NOT_ASKED
            await self._run_transaction(client, attempt)
        else:
            reply = await self._run_statement(client, attempt)
            attempt.fate = _read_fate(reply)
        attempt.ended_at = await curio.clock()
        return attempt

    async def _run_transaction(
        self,
        client: LineClient,
        attempt: Attempt,
    ) -> None:
        await self._ask(client, 'BEGIN', attempt)
        for _ in range(self._randomness.randint(1, _MOST_STATEMENTS)):
            reply = await self._run_statement(client, attempt)
            if not reply.is_done:
                attempt.fate = _read_fate(reply)
                return
        if self._randomness.random() < _ROLLBACKS:
            await self._ask(client, 'ROLLBACK', attempt)
            return
        # It stays in doubt if the answer never comes.
        attempt.fate = Fate.UNKNOWN
        attempt.fate = _read_fate(await self._ask(client, 'COMMIT', attempt))

    async def _run_statement(
        self,
        client: LineClient,
        attempt: Attempt,
    ) -> Reply:
        thing = f't{self._randomness.randrange(_THINGS)}'
        if self._randomness.random() < _WRITES:
            text = f'WRITE {thing} x{self._asked}'
            attempt.writes.append(self._next_id())
            return await self._ask(client, text, attempt)
        reply = await self._ask(client, f'READ {thing}', attempt)
        if reply.is_done:
            attempt.reads.append((thing, ' '.join(reply.rows)))
        return reply

    async def _ask(
        self,
        client: LineClient,
        text: str,
        attempt: Attempt | None,
    ) -> Reply:
        request_id = self._next_id()
        self._asked += 1
        if attempt is not None:
            attempt.texts[request_id] = text
        await client.send(f'QUERY {request_id} {text}')
        return await client.read_reply()

    def _next_id(self) -> str:
        return f'{self._name}-{self._asked}'


def _read_fate(reply: Reply) -> Fate:
    if reply.is_done:
        return Fate.DONE
    word = reply.text.partition(' ')[0]
    return Fate.NOT_KEPT if word in _NOT_COMMITTED_CODES else Fate.UNKNOWN
