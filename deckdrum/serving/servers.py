"""One backend server as a node uses it: its pool and how it has behaved."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.backends import (
    Backend,
    BackendLink,
    BackendServer,
    ConnectionLimitError,
    Lease,
    NoFreeConnectionError,
    Pool,
    ServerStatus,
)
from deckdrum.control import Member
from deckdrum.control.departures import DrainStatus
from deckdrum.fleet.borrowing import BorrowingBackend, DirectBackend
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.load.placement import (
    MAX_BORROWED_CONNECTIONS,
    MIN_LOCAL_CONNECTIONS,
)
from deckdrum.members import GroupShare
from deckdrum.operations import Rejection
from deckdrum.outcomes import Refusal
from deckdrum.serving.lags import ReplicaLag
from deckdrum.serving.times import ResponseTimes
from deckdrum.sessions import Position
from deckdrum.utils.tasks import SharedCall

#: How long a server that failed is passed over, in seconds; doubled with
#: each failure in a row.
MIN_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 1.6
#: Pause after the server refused a connection for want of room, in seconds.
#: Connections of a node that was killed linger for up to 3 s.
CONNECTION_LIMIT_BACKOFF_S: Final = 0.3
#: Longest wait for the answer to a question of the product's own, in seconds;
#: far above the round trip (5 ms) and a full queue of short statements.
COMMAND_TIMEOUT_S: Final = 0.4
#: Age of a silence, or of an answer, up to which it is told to peers without
#: asking again, in seconds.  A node that asks them has waited longer for an
#: answer of its own.
RECENT_TIMEOUT_WINDOW_S: Final = 0.3
RECENT_ANSWER_WINDOW_S: Final = 0.3
#: Longest wait of such a question for a pooled connection, in seconds; then
#: one beyond the pool is opened, since all may rest in transactions.
COMMAND_POOL_TIMEOUT_S: Final = 0.1
#: Longest wait of one try for one of few connections, in seconds.  A resting
#: transaction may hold them for seconds: then other lenders, or another server,
#: are tried instead.
FEW_WAIT: Final = 0.25
#: Group under which the product's own questions wait for a connection.
_COMMAND_GROUP: Final = ''
_LEARN_RATE: Final = 0.2

ServerLease = Lease[Backend, BackendLink]


@dataclass(frozen=True, slots=True)
class ReportedPosition:
    """Where a server's log stood after it was asked, in kernel seconds."""

    position: Position
    asked_at: float


class ServerHandle:
    """A node's end of one backend server.

    Parameters
    ----------
    own : OwnBackend
        Where this node connects by itself.
    loans : LoanBackend
        Where it borrows.
    slots : int
        Most connections of its own.
    shares : mapping of str to GroupShare
        Shares of the groups of callers.
    policies : frozenset of Policy
        Mechanisms in force.
    """

    def __init__(
        self,
        own: DirectBackend,
        loans: BorrowingBackend,
        slots: int,
        shares: Mapping[str, GroupShare],
        policies: frozenset[Policy] = ALL_POLICIES,
    ) -> None:
        self._policies = policies
        self.own = own
        #: Connections of this node's own.
        self.pool: Pool[Backend, BackendLink] = Pool(own, slots, shares)
        #: Connections that it borrows.
        self.loans: Pool[Backend, BackendLink] = Pool(
            loans,
            MAX_BORROWED_CONNECTIONS,
            shares,
        )
        #: Whether it has connections of its own; otherwise it only borrows.
        self.is_holder = True
        self._lending = loans
        self._asking_status = SharedCall(self.query_status)
        #: Why it last left a question without an answer, or refused it.
        self.fault = ''
        #: What it last said of itself, unless the latest question failed.
        self.status: ServerStatus | None = None
        #: Its planned end, if there is one.
        self.departure = DrainStatus()
        #: When the server last answered anything, in kernel seconds.
        self.answered_at = float('-inf')
        #: When a question was last left without an answer.
        self.timed_out_at = float('-inf')
        #: Whether it neither answers this node nor takes connections of it.
        self.is_dark = False
        #: Whether its address last refused or reset a connection.
        self.is_refusing = False
        #: Where its log stood when it last refused a question.
        self.told: ReportedPosition | None = None
        #: Usual time of a statement, in seconds.
        self.usual_time: float = 0
        self._avoided_until = float('-inf')
        self._backoff = MIN_BACKOFF_S
        #: What its log lacked lately.
        self.lag = ReplicaLag()
        #: How long it takes to answer what was sent.
        self.times = ResponseTimes()

    @property
    def id(self) -> str:
        """Id of the server."""
        return self.own.server.id

    @property
    def server(self) -> BackendServer:
        """The server's entry in the directory."""
        return self.own.server

    @property
    def load(self) -> int:
        """Requests of this node that use the server or wait for it."""
        queues = (self.pool.queue, self.loans.queue)
        return sum(queue.held + queue.waiting for queue in queues)

    def update(self, server: BackendServer, departure: DrainStatus) -> None:
        """Take over a new entry of the same server."""
        self.own.server = server
        self._lending.server = server
        self.departure = departure

    async def apply_allocation(
        self,
        lenders: list[Member],
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        """Hold up to `slots` connections, or none, and borrow the others."""
        self._lending.lenders = lenders
        self.is_holder = slots > 0
        await self.pool.queue.resize(max(1, slots), shares)
        await self.loans.queue.resize(MAX_BORROWED_CONNECTIONS, shares)
        if self.is_holder:
            await self.pool.trim()
        else:
            await self.pool.close_idle()

    async def apply_shares(self, shares: Mapping[str, GroupShare]) -> None:
        """Take over the shares of the groups of callers."""
        for pool in (self.pool, self.loans):
            await pool.queue.resize(pool.queue.slots, shares)

    def is_avoided(self, now: float) -> bool:
        """Tell whether requests should go elsewhere if they can."""
        return now < self._avoided_until

    def is_silent(self, now: float) -> bool:
        """Tell whether a question was left unanswered a moment ago."""
        is_fresh = now - self.timed_out_at < RECENT_TIMEOUT_WINDOW_S
        return is_fresh and self.answered_at < self.timed_out_at

    def has_answered(self, since: float) -> bool:
        """Tell whether the server answered anything after `since`.

        A refusal for want of room is an answer: the server is loaded, and
        not lost.
        """
        return self.answered_at >= since

    def record_answer(self, now: float, seconds: float | None = None) -> None:
        """Note that the server answered, after `seconds` if it was work."""
        self.answered_at = now
        self.is_dark = False
        self.is_refusing = False
        self._backoff = MIN_BACKOFF_S
        self._avoided_until = float('-inf')
        if seconds is not None:
            self.usual_time += (seconds - self.usual_time) * _LEARN_RATE

    def note_failure(self, now: float, error: BaseException) -> None:
        """Note that a connection broke or could not be had."""
        if isinstance(error, ConnectionLimitError):
            if not isinstance(error, NoFreeConnectionError):
                self.answered_at = now
            self._avoided_until = now + CONNECTION_LIMIT_BACKOFF_S
            return
        self.is_refusing = isinstance(
            error,
            ConnectionRefusedError | ConnectionResetError,
        )
        self._avoid(now)

    def record_timeout(self, now: float) -> None:
        """Note that the server left a question without an answer."""
        self.timed_out_at = now
        self._avoid(now)

    async def acquire(
        self,
        group: str,
        limit: float,
        values: Mapping[str, str],
        patience: float = math.inf,
        workspace: str | None = None,
    ) -> ServerLease | Refusal:
        """Lend a connection, best one that has the session's `values`.

        After `patience` seconds the request will be late.  The connection is
        of a `workspace`, or of anybody.

        Raises
        ------
        ConnectionError
            If the server cannot be reached.
        """
        if self._has_few_connections and Policy.FEW_WAIT in self._policies:
            limit = min(limit, FEW_WAIT)
        if not self.is_holder:
            return await self.loans.acquire(group, limit, workspace=workspace)
        borrowed = await self._borrow_if_busy(group, limit, workspace)
        if borrowed is not None:
            return borrowed
        try:
            return await self.acquire_own(
                group,
                limit,
                values,
                patience,
                workspace,
            )
        except ConnectionLimitError:
            # Connections of nodes that were killed linger for a while.
            return await self.loans.acquire(group, limit, workspace=workspace)

    async def acquire_own(
        self,
        group: str,
        limit: float,
        values: Mapping[str, str],
        patience: float = math.inf,
        workspace: str | None = None,
    ) -> ServerLease | Refusal:
        """Lend a connection of this node's own; see `acquire`."""
        return await self.pool.acquire(
            group,
            limit,
            lambda link: link.state.values == values,
            patience,
            workspace,
        )

    async def release(self, lease: ServerLease, is_clean: bool) -> None:
        """Take a connection back; one that is not clean is closed."""
        if lease.database is not self.own:
            await self.loans.release(lease, is_clean)
            return
        if self.pool.has_surplus or not self.is_holder:
            # The deal has changed while it was in use.
            lease.link.is_kept = False
        await self.pool.release(lease, is_clean)

    async def query_status(
        self,
        limit: float = COMMAND_TIMEOUT_S,
    ) -> ServerStatus | None:
        """Ask the server about itself; None if it does not say."""
        return await self.execute_command('read_status', limit=limit)

    async def query_status_shared(self) -> ServerStatus | None:
        """Ask as `query_status`, for all peers that want to know now."""
        status: ServerStatus | None = await self._asking_status.get()
        return status

    async def execute_command(
        self,
        step: str,
        *arguments: int,
        limit: float = COMMAND_TIMEOUT_S,
    ) -> ServerStatus | None:
        """Take one step of a change on the server.

        Parameters
        ----------
        step : str
            Name of a method of `BackendLink`.
        *arguments : int
            Its arguments, a term.
        limit : float
            Longest wait in seconds.

        Returns
        -------
        ServerStatus or None
            None if the server did not answer or refused.
        """
        asked_at = await curio.clock()
        self.status = None
        try:
            async with curio.timeout_after(limit):
                reply = await self._call_step(step, arguments)
        except curio.TaskTimeout:
            self.fault = self._describe_silence(step, limit)
            self.record_timeout(await curio.clock())
            return None
        except ConnectionError as error:
            self.fault = f'{step}: {error!r}'
            self.note_failure(await curio.clock(), error)
            return None
        self.record_answer(await curio.clock())
        if not isinstance(reply, Rejection):
            self.status = reply
            return reply
        self.fault = f'{step}: {reply.cause}: {reply.text}'
        if reply.position is not None and reply.tells_position:
            self.told = ReportedPosition(reply.position, asked_at)
        return None

    @property
    def _has_few_connections(self) -> bool:
        """Whether own connections do not serve all requests of this node."""
        return (
            not self.is_holder or self.pool.queue.slots < MIN_LOCAL_CONNECTIONS
        )

    def _describe_silence(self, step: str, limit: float) -> str:
        """Return what is logged of a question without an answer."""
        queue = self.pool.queue
        return (
            f'no answer to {step} within {limit} s, connections: '
            f'{queue.held} of {queue.slots} in use, '
            f'{queue.waiting} waiting, {self.pool.idle} idle, '
            f'{self.loans.queue.held} borrowed'
        )

    async def _call_step(
        self,
        step: str,
        arguments: tuple[int, ...],
    ) -> ServerStatus | Rejection:
        """Use a pooled connection, or one beyond if all stay busy."""
        lease = await self.acquire(_COMMAND_GROUP, COMMAND_POOL_TIMEOUT_S, {})
        if isinstance(lease, Refusal):
            return await self._call_unpooled(step, arguments)
        is_clean = False
        try:
            reply = await _invoke(lease.link, step, arguments)
            is_clean = True
        finally:
            await self.release(lease, is_clean)
        return reply

    async def _call_unpooled(
        self,
        step: str,
        arguments: tuple[int, ...],
    ) -> ServerStatus | Rejection:
        """Use a connection beyond the pool, one that is not kept."""
        backend = self._lending if self._has_few_connections else self.own
        link = await backend.connect(COMMAND_TIMEOUT_S)
        is_whole = False
        try:
            reply = await _invoke(link, step, arguments)
            is_whole = True
        finally:
            if not is_whole:
                await link.close()
        await link.hand_back()
        return reply

    async def _borrow_if_busy(
        self,
        group: str,
        limit: float,
        workspace: str | None,
    ) -> ServerLease | None:
        """Borrow if the few own connections are busy and others are not."""
        if Policy.BORROWING not in self._policies:
            return None
        if not self._has_few_connections or not self.pool.queue.is_busy:
            return None
        try:
            lease = await self.loans.acquire(group, limit, workspace=workspace)
        except ConnectionError:
            # The others have none either: the request waits for its turn.
            return None
        return None if isinstance(lease, Refusal) else lease

    def _avoid(self, now: float) -> None:
        self._avoided_until = now + self._backoff
        self._backoff = min(self._backoff * 2, MAX_BACKOFF_S)


async def _invoke(
    link: BackendLink,
    step: str,
    arguments: tuple[int, ...],
) -> ServerStatus | Rejection:
    reply: ServerStatus | Rejection = await getattr(link, step)(*arguments)
    return reply
