"""Keeper side of a channel, which runs one caller's batches in one task."""

from typing import TYPE_CHECKING

import curio

from deckdrum.configuration.models import Acknowledgement
from deckdrum.fleet.base import Message
from deckdrum.fleet.channels import Channel
from deckdrum.fleet.messages import (
    BatchEnd,
    BatchRefused,
    OpenChannel,
    Rows,
    RunBatch,
)
from deckdrum.keepers.access import Access
from deckdrum.keepers.attempts import (
    RETRY_DELAY_S,
    Attempt,
    HeldConnection,
)
from deckdrum.keepers.guard import CallerDisconnectedError, run_guarded
from deckdrum.keepers.relay import (
    AnswerTooLargeError,
    Relay,
    RelayResult,
    choose_trailer,
    replay_settings,
)
from deckdrum.keepers.routing import Route
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.sessions import Position

if TYPE_CHECKING:
    from deckdrum.keepers.core import Keeper

#: Interval at which an idle transaction is checked.
_IDLE_CHECK_INTERVAL_S = 0.25
#: Idle timeout of a transaction on a lent connection for which a request of
#: another group is waiting.
_LENT_IDLE_TIMEOUT_S = 0.5
#: Longest wait for session settings to be applied to a connection.
_SETTINGS_TIMEOUT_S = 1.0
#: SQLSTATE read_only_sql_transaction.
_READ_ONLY = '25006'
_IDLE = 'I'


class KeeperSession:
    """Runs the batches of one channel.

    Parameters
    ----------
    keeper : Keeper
        The keeper of the service.
    channel : Channel
        Channel to the caller's proxy.
    opened : OpenChannel
        Message that opened the channel.
    """

    def __init__(
        self,
        keeper: 'Keeper',
        channel: Channel,
        opened: OpenChannel,
    ) -> None:
        self._keeper = keeper
        self._channel = channel
        self._group = opened.group
        self._connection: HeldConnection | None = None
        self._is_cancelled = False

    @property
    def is_pinned(self) -> bool:
        """Whether a transaction holds a connection."""
        return self._connection is not None

    async def run(self) -> Message | None:
        """Run batches until the channel closes or sends another message.

        Returns that message, or None if the channel closed.
        """
        try:
            while True:
                message = await self._receive()
                if message is None:
                    continue
                if not isinstance(message, RunBatch):
                    return message
                await self._run_batch(message)
        except (ConnectionError, CallerDisconnectedError):
            return None
        finally:
            await self._discard_connection()

    async def cancel(self) -> None:
        """Cancel the running statement.

        The connection is closed instead of reused after its transaction.
        """
        if self._connection is not None:
            self._is_cancelled = True
            await self._connection.lease.link.cancel()

    async def _receive(self) -> Message | None:
        if self._connection is None:
            return await self._channel.receive()
        timeout = self._keeper.get_idle_timeout(self._group)
        idle: float = 0
        while idle < timeout and not self._must_return_lent(idle):
            async with curio.ignore_after(_IDLE_CHECK_INTERVAL_S):
                return await self._channel.receive()
            idle += _IDLE_CHECK_INTERVAL_S
        await self._discard_connection()
        await self._refuse(
            refuse(Code.IDLE_TRANSACTION, f'idle for {idle} s'),
            lost=True,
        )
        return None

    def _must_return_lent(self, idle: float) -> bool:
        """Whether an idle transaction blocks another group's connection."""
        if idle < _LENT_IDLE_TIMEOUT_S or self._connection is None:
            return False
        queue = self._connection.route.pool.queue
        return queue.must_return_connection(self._group)

    async def _run_batch(self, batch: RunBatch) -> None:
        access = Access(batch.access)
        if self._connection is not None:
            await self._run_pinned(batch)
            return
        if not await self._keeper.can_accept_batches():
            await self._refuse(refuse(Code.NO_KEEPER, 'another one is better'))
            return
        timeout = self._keeper.service.wait_limit
        deadline = await curio.clock() + timeout
        attempt: Attempt | None = Attempt(batch, access, deadline)
        while attempt is not None:
            attempt = await self._try_once(attempt)

    async def _try_once(self, attempt: Attempt) -> Attempt | None:
        """Attempt a batch once; return the next attempt, if any."""
        connection = await self._acquire(attempt)
        if isinstance(connection, Refusal):
            await self._refuse(connection)
            return None
        if connection is None:
            await curio.sleep(RETRY_DELAY_S)
            return attempt
        self._connection = connection
        link = connection.lease.link
        try:
            async with curio.timeout_after(_SETTINGS_TIMEOUT_S):
                error_text = await replay_settings(link, attempt.batch)
        except (ConnectionError, curio.TaskTimeout):
            await self._discard_connection()
            return None if await self._refuse_if_expired(attempt) else attempt
        if error_text:
            await self._discard_connection()
            await self._refuse(refuse(Code.BAD_SETTING, error_text))
            return None
        if self._keeper.has_term_ended(connection.route):
            await self._release_unused()
            return None if await self._refuse_if_expired(attempt) else attempt
        return await self._execute(attempt)

    async def _refuse_if_expired(self, attempt: Attempt) -> bool:
        """Refuse a batch, not yet sent, if its deadline has passed."""
        is_over = await attempt.is_over()
        if is_over:
            await self._refuse(refuse(Code.QUEUE_TIMEOUT, 'no connection'))
        return is_over

    async def _acquire(
        self,
        attempt: Attempt,
    ) -> HeldConnection | Refusal | None:
        """Route a batch and acquire a connection; None means retry."""
        route = await self._keeper.router.choose(
            attempt.batch,
            attempt.access,
            await attempt.remaining(),
        )
        if isinstance(route, Refusal):
            return route
        try:
            lease = await route.pool.acquire(
                self._group,
                await attempt.remaining(),
            )
        except ConnectionError as error:
            self._keeper.count('backend.connect_failed')
            if await attempt.is_over():
                return refuse(Code.NO_PRIMARY, str(error))
            return None
        if isinstance(lease, Refusal):
            return lease
        return HeldConnection(lease, route)

    async def _execute(self, attempt: Attempt) -> Attempt | None:
        """Run a batch on the connection that the channel holds."""
        connection = self._require_connection()
        relay = Relay(
            connection.lease.link,
            attempt.batch,
            self._send_rows,
            choose_trailer(connection.route, attempt.batch),
        )
        try:
            end = await run_guarded(self._keeper, relay, connection.route)
        except ConnectionError as error:
            await self._discard_connection()
            return await self._handle_loss(attempt, relay, error)
        except AnswerTooLargeError:
            await self._discard_connection()
            await self._refuse(refuse(Code.ANSWER_TOO_LARGE))
            return None
        if end.rejected:
            return await self._handle_rejection(attempt, end)
        await self._finish(end, connection.route)
        return None

    async def _handle_loss(
        self,
        attempt: Attempt,
        relay: Relay,
        error: ConnectionError,
    ) -> Attempt | None:
        """Retry or refuse a batch whose connection broke while it ran."""
        if not relay.is_sent:
            await self._refuse(refuse(Code.PROTOCOL_VIOLATION, str(error)))
            return None
        is_read = attempt.access is not Access.WRITE
        if (
            is_read
            and not relay.has_relayed_bytes
            and not await attempt.is_over()
        ):
            self._keeper.count('read.retried')
            return attempt
        await self._refuse(refuse(Code.CONNECTION_LOST, str(error)))
        return None

    async def _handle_rejection(
        self,
        attempt: Attempt,
        end: RelayResult,
    ) -> Attempt | None:
        """Retry or refuse a batch that the database did not execute."""
        await self._release_if_idle(end)
        self._keeper.count('backend.rejected')
        is_over = await attempt.is_over()
        if is_over or not attempt.batch.repeatable or self._connection:
            detail = f'SQLSTATE {end.rejected}'
            await self._refuse(refuse(Code.PRIMARY_REFUSED, detail))
            return None
        await curio.sleep(RETRY_DELAY_S)
        access = attempt.access
        if end.rejected == _READ_ONLY:
            # The batch was classified as a read but writes.
            access = Access.WRITE
        return Attempt(attempt.batch, access, attempt.deadline)

    async def _run_pinned(self, batch: RunBatch) -> None:
        connection = self._require_connection()
        if self._keeper.has_term_ended(connection.route):
            # Its COMMIT could not be confirmed any more.
            await self._discard_connection()
            reason = f'term {connection.route.term} has ended'
            await self._refuse(refuse(Code.TRANSACTION_LOST, reason), lost=True)
            return
        relay = Relay(connection.lease.link, batch, self._send_rows)
        try:
            end = await run_guarded(self._keeper, relay, connection.route)
        except ConnectionError as error:
            await self._discard_connection()
            await self._refuse(
                refuse(Code.CONNECTION_LOST, str(error)),
                lost=True,
            )
            return
        except AnswerTooLargeError:
            await self._discard_connection()
            await self._refuse(refuse(Code.ANSWER_TOO_LARGE), lost=True)
            return
        if end.rejected:
            await self._release_if_idle(end)
            detail = f'SQLSTATE {end.rejected}'
            await self._refuse(
                refuse(Code.PRIMARY_REFUSED, detail),
                lost=not self.is_pinned,
            )
            return
        await self._finish(end, connection.route)

    async def _finish(self, end: RelayResult, route: Route) -> None:
        """Release the connection, confirm, and send the held-back answer."""
        await self._release_if_idle(end)
        position: Position | None = Position(0, 0)
        if end.status == _IDLE:
            position = await self._confirm(route, end)
        if position is None:
            await self._refuse_unconfirmed(route)
            return
        if end.held:
            await self._send_rows(end.held)
        await self._send(
            BatchEnd(
                end.status,
                route.pool.database.name,
                route.reason.value,
                (position.term, position.offset),
            ),
        )
        self._keeper.record_answered_batch(self._group, route)

    async def _confirm(
        self,
        route: Route,
        end: RelayResult,
    ) -> Position | None:
        """Return the position of the answer; None if it is not confirmed."""
        service = self._keeper.service
        watch = self._keeper.watch
        if route.is_primary:
            if service.acknowledgement is Acknowledgement.PRIMARY:
                position = await watch.fetch_applied(
                    route.pool.database.name,
                    service.confirm_limit,
                )
                # In another term it may have discarded the change.
                is_same_term = position and position.term == route.term
                return position if is_same_term else None
            return await watch.confirm(route.term, service.confirm_limit)
        return await self._keeper.confirm_read(route, end.trailer)

    async def _refuse_unconfirmed(self, route: Route) -> None:
        """Refuse a batch whose answer has not been confirmed."""
        if not route.is_primary:
            await self._refuse(refuse(Code.READ_NOT_POSSIBLE))
            return
        keeper = self._keeper
        keeper.count('answer.unconfirmed')
        keeper.context.journal.record_rate_limited(
            'answer.unconfirmed',
            service=keeper.service.name,
            database=route.pool.database.name,
            route_term=route.term,
            known_term=keeper.watch.term,
        )
        await self._refuse(refuse(Code.UNCONFIRMED))

    async def _release_if_idle(self, end: RelayResult) -> None:
        """Release the connection if no transaction is open."""
        if end.status != _IDLE or self._connection is None:
            return
        connection = self._connection
        self._connection = None
        is_clean = not self._is_cancelled
        self._is_cancelled = False
        await connection.route.pool.release(connection.lease, is_clean)

    async def _release_unused(self) -> None:
        """Release a connection on which no batch was sent."""
        connection = self._require_connection()
        self._connection = None
        self._keeper.count('route.term_ended')
        await connection.route.pool.release(connection.lease, True)

    async def _discard_connection(self) -> None:
        """Close the connection, as an answer on it may be outstanding."""
        connection = self._connection
        self._connection = None
        self._is_cancelled = False
        if connection is not None:
            async with curio.disable_cancellation():
                await connection.route.pool.release(connection.lease, False)

    async def _send_rows(self, payload: bytes) -> None:
        await self._send(Rows(payload))

    async def _refuse(self, refusal: Refusal, lost: bool = False) -> None:
        self._keeper.record_refused_batch(self._group, refusal)
        await self._send(
            BatchRefused(refusal.code.value, refusal.text, lost),
        )

    async def _send(self, message: Message) -> None:
        try:
            await self._channel.send(message)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    def _require_connection(self) -> HeldConnection:
        if self._connection is None:
            raise BrokenInvariantError('the channel holds no connection')
        return self._connection
