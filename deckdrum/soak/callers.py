"""Callers of a soak test: sessions that read and write through any node."""

from collections.abc import Sequence
from random import Random
from typing import Final

import curio

from deckdrum.soak.processes import NodeProcess
from deckdrum.soak.records import Attempt, AttemptOutcome
from deckdrum.testing.line_client import LineClient, Reply
from deckdrum.testing.nodes import BOUNDED, CURRENT, OWN_WRITES

#: Transaction state of a session outside any transaction.
_IDLE: Final = 'I'
_DATABASES: Final = (CURRENT, BOUNDED, OWN_WRITES)
#: Error codes which guarantee that no change of the attempt is committed.
_NOT_COMMITTED_CODES: Final = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'),
)
#: Pause after a failed session, and longest pause between two attempts.
_RETRY_DELAY_S: Final = 0.1
_MAX_PAUSE_S: Final = 0.05
#: Operations per session and statements per transaction.
_MAX_OPERATIONS: Final = 20
_MAX_STATEMENTS: Final = 3
_KEY_COUNT: Final = 1000
#: Fractions of operations, statements and transactions respectively.
_TRANSACTION_FRACTION: Final = 0.3
_WRITE_FRACTION: Final = 0.4
_ROLLBACK_FRACTION: Final = 0.2


class Caller:
    """A caller that opens one session after another.

    Parameters
    ----------
    name : str
        Name, unique in the soak test.
    nodes : sequence of NodeProcess
        Nodes to which it connects.
    randomness : random.Random
        Selects nodes and operations.
    is_persistent : bool
        Whether it uses a connection, also after failed operations, until the
        node closes it or is gone.
    """

    def __init__(
        self,
        name: str,
        nodes: Sequence[NodeProcess],
        randomness: Random,
        *,
        is_persistent: bool = False,
    ) -> None:
        self.attempts: list[Attempt] = []
        #: Time of the latest successful attempt, by name of the node.
        self.last_served_at: dict[str, float] = {}
        self.is_stopped = False
        self._name = name
        self._nodes = nodes
        self._randomness = randomness
        self._is_persistent = is_persistent
        self._session_count = 0
        self._request_count = 0
        #: Transaction state after the latest answer.
        self._last_state = _IDLE

    async def run(self) -> None:
        """Open sessions until `is_stopped` is set."""
        while not self.is_stopped:
            node = self._randomness.choice(self._nodes)
            try:
                await self._run_session(node)
            except (ConnectionError, curio.TaskTimeout):
                # The node is down or unresponsive; the next one may serve.
                await curio.sleep(_RETRY_DELAY_S)

    async def _run_session(self, node: NodeProcess) -> None:
        self._session_count += 1
        session = f'{self._name}s{self._session_count}'
        database = self._randomness.choice(_DATABASES)
        client = await LineClient.connect(node.clients_address, database)
        try:
            if await self._set_value(client, session):
                await self._run_operations(client, node, session, database)
        finally:
            await client.close()

    async def _set_value(self, client: LineClient, session: str) -> bool:
        """Set a value by which databases tell sessions; return whether done."""
        if client.greeting.state != _IDLE:
            return False
        reply = await self._send_query(client, f'SET colour {session}', None)
        return reply.is_done

    async def _run_operations(
        self,
        client: LineClient,
        node: NodeProcess,
        session: str,
        database: str,
    ) -> None:
        remaining = self._randomness.randint(1, _MAX_OPERATIONS)
        while remaining and not self.is_stopped:
            attempt = await self._run_attempt(client, session, database)
            if attempt.outcome is AttemptOutcome.DONE:
                self.last_served_at[node.name] = attempt.ended_at
            if not self._may_continue(attempt):
                return
            if not self._is_persistent:
                remaining -= 1
            await curio.sleep(self._randomness.random() * _MAX_PAUSE_S)

    def _may_continue(self, attempt: Attempt) -> bool:
        """Return whether another operation may use the session."""
        if self._is_persistent:
            return self._last_state == _IDLE
        return attempt.outcome is AttemptOutcome.DONE

    async def _run_attempt(
        self,
        client: LineClient,
        session: str,
        database: str,
    ) -> Attempt:
        attempt = Attempt(session, database)
        self.attempts.append(attempt)
        attempt.began_at = await curio.clock()
        if self._randomness.random() < _TRANSACTION_FRACTION:
            attempt.outcome = AttemptOutcome.NOT_REQUESTED
            await self._run_transaction(client, attempt)
        else:
            reply = await self._run_statement(client, attempt)
            attempt.outcome = _get_outcome(reply)
        attempt.ended_at = await curio.clock()
        return attempt

    async def _run_transaction(
        self,
        client: LineClient,
        attempt: Attempt,
    ) -> None:
        await self._send_query(client, 'BEGIN', attempt)
        for _ in range(self._randomness.randint(1, _MAX_STATEMENTS)):
            reply = await self._run_statement(client, attempt)
            if not reply.is_done:
                attempt.outcome = _get_outcome(reply)
                return
        if self._randomness.random() < _ROLLBACK_FRACTION:
            await self._send_query(client, 'ROLLBACK', attempt)
            return
        # The outcome stays unknown if COMMIT is not answered.
        attempt.outcome = AttemptOutcome.UNKNOWN
        attempt.outcome = _get_outcome(
            await self._send_query(client, 'COMMIT', attempt)
        )

    async def _run_statement(
        self,
        client: LineClient,
        attempt: Attempt,
    ) -> Reply:
        key = f't{self._randomness.randrange(_KEY_COUNT)}'
        if self._randomness.random() < _WRITE_FRACTION:
            text = f'WRITE {key} x{self._request_count}'
            attempt.writes.append(self._build_request_id())
            return await self._send_query(client, text, attempt)
        reply = await self._send_query(client, f'READ {key}', attempt)
        if reply.is_done:
            attempt.reads.append((key, ' '.join(reply.rows)))
        return reply

    async def _send_query(
        self,
        client: LineClient,
        text: str,
        attempt: Attempt | None,
    ) -> Reply:
        request_id = self._build_request_id()
        self._request_count += 1
        if attempt is not None:
            attempt.statements[request_id] = text
        await client.send(f'QUERY {request_id} {text}')
        reply = await client.read_reply()
        self._last_state = reply.state
        return reply

    def _build_request_id(self) -> str:
        return f'{self._name}-{self._request_count}'


def _get_outcome(reply: Reply) -> AttemptOutcome:
    if reply.is_done:
        return AttemptOutcome.DONE
    code = reply.text.partition(' ')[0]
    return (
        AttemptOutcome.NOT_COMMITTED
        if code in _NOT_COMMITTED_CODES
        else AttemptOutcome.UNKNOWN
    )
