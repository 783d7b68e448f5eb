"""The keeper's end of a channel: one task runs one caller's batches."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from deckdrum.backends.pool import Lease
from deckdrum.configuration.models import Acknowledgement
from deckdrum.databases.base import Database, DatabaseLink
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
from deckdrum.keepers.relay import (
    AnswerTooLargeError,
    Relay,
    RelayResult,
    replay_settings,
)
from deckdrum.keepers.routing import Route
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.sessions import Position
from deckdrum.wire import Frame, tags

if TYPE_CHECKING:
    from deckdrum.keepers.core import Keeper

#: How often a waiting relay looks whether its database is still in charge.
_LIVENESS_CHECK_INTERVAL_S = 0.5
_RETRY_PAUSE = 0.05
#: How often an idle transaction is looked at, in seconds.
_IDLE_CHECK_INTERVAL_S = 0.25
#: Idle time of a transaction on a lent connection that another group waits
#: for, in seconds.
_LENT_IDLE_TIMEOUT_S = 0.5
#: Longest wait for settings to be replayed, in seconds.
_SETTINGS_TIMEOUT_S = 1.0
#: SQLSTATE of a database that takes no changes.
_READ_ONLY = '25006'
_IDLE = 'I'
_FLUSH = Frame.build(tags.FLUSH).raw


class CallerDisconnectedError(Exception):
    """The caller's proxy no longer listens."""


@dataclass(slots=True)
class _HeldConnection:
    """A connection that the channel holds, and how it was routed."""

    lease: Lease[Database, DatabaseLink]
    route: Route


@dataclass(slots=True)
class _Attempt:
    """One batch and the time by which it must have a connection."""

    batch: RunBatch
    access: Access
    deadline: float

    async def remaining(self) -> float:
        """Return the seconds left; at least a moment."""
        now: float = await curio.clock()
        return max(self.deadline - now, _RETRY_PAUSE)

    async def is_over(self) -> bool:
        """Tell whether the deadline has passed."""
        now: float = await curio.clock()
        return now >= self.deadline


class KeeperSession:
    """Runs the batches of one channel.

    Parameters
    ----------
    keeper : Keeper
        The keeper of the service.
    channel : Channel
        To the caller's proxy.
    opened : OpenChannel
        The message that opened the channel.
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
        self._holding: _HeldConnection | None = None
        self._is_cancelled = False

    @property
    def is_pinned(self) -> bool:
        """Whether a transaction holds a connection."""
        return self._holding is not None

    async def run(self) -> Message | None:
        """Run batches until the channel ends or turns to another service.

        Returns
        -------
        Message or None
            The message that was no batch, or None at the end.
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
        """Cancel what runs; the connection is closed after its transaction."""
        if self._holding is not None:
            self._is_cancelled = True
            await self._holding.lease.link.cancel()

    async def _receive(self) -> Message | None:
        if self._holding is None:
            return await self._channel.receive()
        limit = self._keeper.get_idle_timeout(self._group)
        idle: float = 0
        while idle < limit and not self._must_return_lent(idle):
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
        """Tell whether an idle transaction sits on another group's share."""
        if idle < _LENT_IDLE_TIMEOUT_S or self._holding is None:
            return False
        queue = self._holding.route.pool.queue
        return queue.must_return_connection(self._group)

    async def _run_batch(self, batch: RunBatch) -> None:
        access = Access(batch.access)
        if self._holding is not None:
            await self._run_pinned(batch, access)
            return
        if not await self._keeper.can_accept_batches():
            await self._refuse(refuse(Code.NO_KEEPER, 'another one is better'))
            return
        limit = self._keeper.service.wait_limit
        deadline = await curio.clock() + limit
        attempt: _Attempt | None = _Attempt(batch, access, deadline)
        while attempt is not None:
            attempt = await self._try(attempt)

    async def _try(self, attempt: _Attempt) -> _Attempt | None:
        """Try a batch once; return what is to be tried next, if anything."""
        holding = await self._acquire(attempt)
        if isinstance(holding, Refusal):
            await self._refuse(holding)
            return None
        if holding is None:
            await curio.sleep(_RETRY_PAUSE)
            return attempt
        self._holding = holding
        link = holding.lease.link
        try:
            async with curio.timeout_after(_SETTINGS_TIMEOUT_S):
                complaint = await replay_settings(link, attempt.batch)
        except (ConnectionError, curio.TaskTimeout):
            await self._discard_connection()
            return None if await self._give_up(attempt) else attempt
        if complaint:
            await self._discard_connection()
            await self._refuse(refuse(Code.BAD_SETTING, complaint))
            return None
        return await self._attempt(attempt)

    async def _give_up(self, attempt: _Attempt) -> bool:
        """Refuse a batch whose time is over before it was sent."""
        is_over = await attempt.is_over()
        if is_over:
            await self._refuse(refuse(Code.QUEUE_TIMEOUT, 'no connection'))
        return is_over

    async def _acquire(
        self,
        attempt: _Attempt,
    ) -> _HeldConnection | Refusal | None:
        """Route a batch and lend a connection; None to try again."""
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
        return _HeldConnection(lease, route)

    async def _attempt(self, attempt: _Attempt) -> _Attempt | None:
        """Run a batch on the connection that the channel holds."""
        holding = self._require_connection()
        relay = Relay(
            holding.lease.link,
            attempt.batch,
            self._pass_rows,
            _read_trailer(holding.route, attempt.batch),
        )
        try:
            end = await self._run_guarded(relay, holding.route)
        except ConnectionError as error:
            await self._discard_connection()
            return await self._handle_loss(attempt, relay, error)
        except AnswerTooLargeError:
            await self._discard_connection()
            await self._refuse(refuse(Code.ANSWER_TOO_LARGE))
            return None
        if end.rejected:
            return await self._handle_rejection(attempt, end)
        await self._finish(end, holding.route)
        return None

    async def _handle_loss(
        self,
        attempt: _Attempt,
        relay: Relay,
        error: ConnectionError,
    ) -> _Attempt | None:
        """Act on a connection that broke while a batch ran on it."""
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
        attempt: _Attempt,
        end: RelayResult,
    ) -> _Attempt | None:
        """Act on a database that itself said that it ran nothing."""
        await self._let_go(end)
        self._keeper.count('backend.rejected')
        is_over = await attempt.is_over()
        if is_over or not attempt.batch.repeatable or self._holding:
            told = f'SQLSTATE {end.rejected}'
            await self._refuse(refuse(Code.PRIMARY_REFUSED, told))
            return None
        await curio.sleep(_RETRY_PAUSE)
        access = attempt.access
        if end.rejected == _READ_ONLY:
            # A read that turns out to write needs the primary.
            access = Access.WRITE
        return _Attempt(attempt.batch, access, attempt.deadline)

    async def _run_pinned(self, batch: RunBatch, access: Access) -> None:
        holding = self._require_connection()
        relay = Relay(holding.lease.link, batch, self._pass_rows)
        try:
            end = await self._run_guarded(relay, holding.route)
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
            await self._let_go(end)
            told = f'SQLSTATE {end.rejected}'
            await self._refuse(
                refuse(Code.PRIMARY_REFUSED, told),
                lost=not self.is_pinned,
            )
            return
        await self._finish(end, holding.route)

    async def _run_guarded(self, relay: Relay, route: Route) -> RelayResult:
        """Run a relay until its database is no longer in charge.

        Raises
        ------
        ConnectionError
            If the connection breaks or the group moved to another term.
        """
        task = await curio.spawn(_run_relay, relay)
        try:
            while not task.terminated:
                heard = relay.frames
                async with curio.ignore_after(_LIVENESS_CHECK_INTERVAL_S):
                    await task.wait()
                if task.terminated:
                    break
                is_heard = relay.frames > heard
                if await self._keeper.has_lost(route, is_heard=is_heard):
                    raise ConnectionResetError('the database is gone')
        finally:
            if not task.terminated:
                await task.cancel()
        end: RelayResult | Exception = task.result
        if isinstance(end, Exception):
            raise end
        return end

    async def _finish(self, end: RelayResult, route: Route) -> None:
        """Give the connection back, confirm, and pass the answer's end on."""
        await self._let_go(end)
        floor: Position | None = Position(0, 0)
        if end.status == _IDLE:
            floor = await self._confirm(route, end)
        if floor is None:
            code = Code.UNCONFIRMED
            if not route.is_primary:
                code = Code.READ_NOT_POSSIBLE
            await self._refuse(refuse(code))
            return
        if end.held:
            await self._pass_rows(end.held)
        await self._send(
            BatchEnd(
                end.status,
                route.pool.database.name,
                route.reason.value,
                (floor.term, floor.offset),
            ),
        )
        self._keeper.record_answered_batch(self._group, route)

    async def _confirm(
        self,
        route: Route,
        end: RelayResult,
    ) -> Position | None:
        """Return the position that the answer rests on, once it is safe."""
        service = self._keeper.service
        watch = self._keeper.watch
        if route.is_primary:
            if service.acknowledgement is Acknowledgement.PRIMARY:
                return await watch.fetch_applied(
                    route.pool.database.name,
                    service.confirm_limit,
                )
            return await watch.confirm(service.confirm_limit)
        return await self._keeper.confirm_read(route, end.trailer)

    async def _let_go(self, end: RelayResult) -> None:
        """Give the connection back if no transaction is open."""
        if end.status != _IDLE or self._holding is None:
            return
        holding = self._holding
        self._holding = None
        is_clean = not self._is_cancelled
        self._is_cancelled = False
        await holding.route.pool.release(holding.lease, is_clean)

    async def _discard_connection(self) -> None:
        """Close the connection: its answer is in doubt or unwanted."""
        holding = self._holding
        self._holding = None
        self._is_cancelled = False
        if holding is not None:
            async with curio.disable_cancellation():
                await holding.route.pool.release(holding.lease, False)

    async def _pass_rows(self, payload: bytes) -> None:
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

    def _require_connection(self) -> _HeldConnection:
        if self._holding is None:
            raise BrokenInvariantError('the channel holds no connection')
        return self._holding


async def _run_relay(relay: Relay) -> RelayResult | Exception:
    """Run a relay; its failure is a value for the task that waits."""
    try:
        return await relay.run()
    except (
        ConnectionError,
        AnswerTooLargeError,
        CallerDisconnectedError,
    ) as error:
        return error


def _read_trailer(route: Route, batch: RunBatch) -> bytes:
    """Return what to ask a replica behind a read: how far it is."""
    if route.is_primary or batch.payload.endswith(_FLUSH):
        return b''
    return route.pool.database.state_request
