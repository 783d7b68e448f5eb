"""Connections to a backend server and its observed health."""

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
from deckdrum.control.draining import DrainStatus
from deckdrum.fleet.borrowing import BorrowingBackend, DirectBackend
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.load.allocation import (
    MAX_BORROWED_CONNECTIONS,
    MIN_LOCAL_CONNECTIONS,
)
from deckdrum.members import COMMAND_GROUP, GroupShare
from deckdrum.operations import Rejection
from deckdrum.outcomes import Refusal
from deckdrum.serving.replica_lag import ReplicaLag
from deckdrum.serving.response_times import ResponseTimes
from deckdrum.serving.slots import GatedServer, NoSlotError
from deckdrum.sessions import Position
from deckdrum.utils.tasks import SharedCall

#: How long a server is avoided after a failure; doubled with each consecutive
#: failure.
MIN_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 1.6
#: How long a server is avoided after it has reached its connection limit.
#: Connections of a killed node remain open for up to 3 s.
CONNECTION_LIMIT_BACKOFF_S: Final = 0.3
#: Timeout of status queries and other commands of the proxy itself; far above a
#: round trip (5 ms) and a full queue of short statements.
COMMAND_TIMEOUT_S: Final = 0.4
#: Age up to which a timeout, or an answer, is reported to peers without another
#: query.  A node that asks has waited longer for an answer of its own.
RECENT_TIMEOUT_WINDOW_S: Final = 0.3
RECENT_ANSWER_WINDOW_S: Final = 0.3
#: Timeout of a command for a pooled connection.  After it a connection outside
#: the pool is opened, since idle transactions may hold all pooled ones.
COMMAND_POOL_TIMEOUT_S: Final = 0.1
#: Timeout for a connection if there are few, in seconds.  Idle transactions may
#: hold them for longer: other lenders or servers are tried instead.
SCARCE_CONNECTION_TIMEOUT_S: Final = 0.25
_SMOOTHING_FACTOR: Final = 0.2

ServerLease = Lease[Backend, BackendLink]


@dataclass(frozen=True, slots=True)
class ReportedPosition:
    """Log position that a server reported at or after `asked_at`.

    Points in time are those of `curio.clock`.
    """

    position: Position
    asked_at: float


class ServerHandle(GatedServer):
    """Access of this node to one backend server.

    Points in time are those of `curio.clock`.

    Parameters
    ----------
    own : DirectBackend
        Opens connections of this node.
    loans : BorrowingBackend
        Borrows connections from other nodes.
    slots : int
        Maximum number of own connections.
    shares : mapping of str to GroupShare
        Shares of the connections by group of callers.
    policies : frozenset of Policy
        Enabled policies.
    """

    def __init__(
        self,
        own: DirectBackend,
        loans: BorrowingBackend,
        slots: int,
        shares: Mapping[str, GroupShare],
        policies: frozenset[Policy] = ALL_POLICIES,
    ) -> None:
        super().__init__(own)
        self._policies = policies
        #: Own connections.
        self.pool: Pool[Backend, BackendLink] = Pool(own, slots, shares)
        #: Borrowed connections.
        self.loans: Pool[Backend, BackendLink] = Pool(
            loans,
            MAX_BORROWED_CONNECTIONS,
            shares,
        )
        #: Whether this node may hold connections; otherwise it only borrows.
        self.is_holder = True
        self._loan_backend = loans
        self._status_query = SharedCall(self.query_status)
        #: Reason why the latest failed command failed.
        self.last_error = ''
        #: Status from the latest command; None if that command failed.
        self.status: ServerStatus | None = None
        #: Planned shutdown of the server, if any.
        self.drain_status = DrainStatus()
        #: When the server last answered anything.
        self.answered_at = float('-inf')
        #: When a request to the server last timed out.
        self.timed_out_at = float('-inf')
        #: Whether the server neither answers this node nor accepts connections
        #: from it.
        self.is_unreachable = False
        #: Log position reported with the latest rejected command.
        self.reported_position: ReportedPosition | None = None
        #: Smoothed time of a statement, with the wait for a connection, in s.
        self.mean_time: float = 0
        self._backoff_until = float('-inf')
        self._backoff = MIN_BACKOFF_S
        #: When a request last failed, other than by the connection limit.
        self._failed_at = float('-inf')
        #: Positions that its log was found to lack.
        self.replica_lag = ReplicaLag()
        #: Response times from sending a statement to its answer.
        self.response_times = ResponseTimes()
        self.gate.compute_answer_timeout = self._get_answer_timeout

    @property
    def load(self) -> int:
        """Number of local requests that hold or wait for a connection."""
        queues = (self.pool.queue, self.loans.queue)
        return sum(queue.held + queue.waiting for queue in queues)

    def update(self, server: BackendServer, drain_status: DrainStatus) -> None:
        """Apply a new entry of the same server."""
        self.own.server = server
        self._loan_backend.server = server
        self.drain_status = drain_status

    async def apply_allocation(
        self,
        lenders: list[Member],
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        """Hold up to `slots` own connections and borrow further ones."""
        self._loan_backend.lenders = lenders
        self.is_holder = slots > 0
        await self.pool.queue.resize(max(1, slots), shares)
        await self.loans.queue.resize(MAX_BORROWED_CONNECTIONS, shares)
        if self.is_holder:
            await self.pool.trim()
        else:
            await self.pool.close_idle()

    async def apply_shares(self, shares: Mapping[str, GroupShare]) -> None:
        """Apply new shares of the groups of callers."""
        for pool in (self.pool, self.loans):
            await pool.queue.resize(pool.queue.slots, shares)

    def is_backing_off(self, now: float) -> bool:
        """Return whether requests should prefer other servers."""
        return now < self._backoff_until

    def find_failure(self, now: float) -> float | None:
        """Return when the failure was after which the server is avoided."""
        is_avoided = self.is_backing_off(now) and not self.has_answered(
            self._failed_at
        )
        return self._failed_at if is_avoided else None

    def has_recent_timeout(self, now: float) -> bool:
        """Return whether a recent request timed out without a later answer."""
        is_fresh = now - self.timed_out_at < RECENT_TIMEOUT_WINDOW_S
        return is_fresh and self.answered_at < self.timed_out_at

    def has_answered(self, since: float) -> bool:
        """Return whether the server has answered anything since `since`.

        A connection refused because of the connection limit counts as an
        answer: the server is overloaded, not down.
        """
        return self.answered_at >= since

    def record_answer(self, now: float, seconds: float | None = None) -> None:
        """Record an answer, and the duration of a statement in `seconds`."""
        self.answered_at = now
        self.is_unreachable = False
        self._backoff = MIN_BACKOFF_S
        self._backoff_until = float('-inf')
        if seconds is not None:
            self.mean_time += (seconds - self.mean_time) * _SMOOTHING_FACTOR

    def record_failure(self, now: float, error: BaseException) -> None:
        """Record that a connection failed or could not be opened."""
        if isinstance(error, ConnectionLimitError):
            if not isinstance(error, NoFreeConnectionError):
                self.answered_at = now
            self._backoff_until = now + CONNECTION_LIMIT_BACKOFF_S
            return
        self._back_off(now)

    def record_timeout(self, now: float) -> None:
        """Record that a request to the server timed out."""
        self.timed_out_at = now
        self._back_off(now)

    async def acquire(
        self,
        group: str,
        timeout: float,
        values: Mapping[str, str],
        time_to_deadline: float = math.inf,
        workspace: str | None = None,
    ) -> ServerLease | Refusal:
        """Acquire an own or borrowed connection.

        Connections that have the session's `values` are preferred.  The request
        misses its objective if it waits longer than `time_to_deadline` seconds.
        The connection belongs to `workspace`, if one is given.

        Raises
        ------
        NoSlotError
            If the server has no slot for opening a connection.
        ConnectionError
            If the server cannot be reached.
        """
        if self._has_few_connections and Policy.FEW_WAIT in self._policies:
            timeout = min(timeout, SCARCE_CONNECTION_TIMEOUT_S)
        if not self.is_holder:
            return await self.loans.acquire(group, timeout, workspace=workspace)
        borrowed = await self._borrow_if_busy(group, timeout, workspace)
        if borrowed is not None:
            return borrowed
        try:
            return await self.acquire_own(
                group,
                timeout,
                values,
                time_to_deadline,
                workspace,
            )
        except NoSlotError:
            raise
        except ConnectionLimitError:
            # Connections of killed nodes may still use up the limit.
            return await self.loans.acquire(group, timeout, workspace=workspace)

    async def acquire_own(
        self,
        group: str,
        timeout: float,
        values: Mapping[str, str],
        time_to_deadline: float = math.inf,
        workspace: str | None = None,
    ) -> ServerLease | Refusal:
        """Acquire an own connection; see `acquire`."""
        return await self.pool.acquire(
            group,
            timeout,
            lambda link: link.state.values == values,
            time_to_deadline,
            workspace,
        )

    async def release(self, lease: ServerLease, is_clean: bool) -> None:
        """Release a connection; one that is not clean is closed."""
        if lease.database is not self.own:
            await self.loans.release(lease, is_clean)
            return
        if self.pool.has_surplus or not self.is_holder:
            # The allocation has changed while it was in use.
            lease.link.is_kept = False
        await self.pool.release(lease, is_clean)

    async def query_status(
        self,
        timeout: float = COMMAND_TIMEOUT_S,
    ) -> ServerStatus | None:
        """Query the server's status; None if that fails."""
        return await self.execute_command('read_status', timeout=timeout)

    async def query_status_shared(self) -> ServerStatus | None:
        """Query the status once for all concurrent callers."""
        status: ServerStatus | None = await self._status_query.get()
        return status

    async def execute_command(
        self,
        command: str,
        *arguments: int,
        timeout: float = COMMAND_TIMEOUT_S,
    ) -> ServerStatus | None:
        """Execute a command of the proxy on the server.

        Parameters
        ----------
        command : str
            Name of a method of `BackendLink`.
        *arguments : int
            Its arguments, such as a term.
        timeout : float
            Timeout in seconds.

        Returns
        -------
        ServerStatus or None
            None if the server did not answer or rejected the command.
        """
        asked_at = await curio.clock()
        self.status = None
        try:
            async with curio.timeout_after(timeout):
                reply = await self._run_command(command, arguments)
        except curio.TaskTimeout:
            self.last_error = _describe_timeout(self, command, timeout)
            self.record_timeout(await curio.clock())
            return None
        except ConnectionError as error:
            self.last_error = f'{command}: {error!r}'
            self.record_failure(await curio.clock(), error)
            return None
        self.record_answer(await curio.clock())
        if not isinstance(reply, Rejection):
            self.status = reply
            return reply
        self.last_error = f'{command}: {reply.cause}: {reply.text}'
        if reply.position is not None and reply.reports_position:
            self.reported_position = ReportedPosition(reply.position, asked_at)
        return None

    @property
    def _has_few_connections(self) -> bool:
        """Whether this node has too few own connections for its requests."""
        return (
            not self.is_holder or self.pool.queue.slots < MIN_LOCAL_CONNECTIONS
        )

    async def _run_command(
        self,
        command: str,
        arguments: tuple[int, ...],
    ) -> ServerStatus | Rejection:
        """Run a command on a pooled connection, or outside the pool if busy."""
        lease = await self.acquire(COMMAND_GROUP, COMMAND_POOL_TIMEOUT_S, {})
        if isinstance(lease, Refusal):
            return await self._call_unpooled(command, arguments)
        is_clean = False
        try:
            async with self.gate.count():
                reply = await _invoke(lease.link, command, arguments)
            is_clean = True
        finally:
            await self.release(lease, is_clean)
        return reply

    async def _call_unpooled(
        self,
        command: str,
        arguments: tuple[int, ...],
    ) -> ServerStatus | Rejection:
        """Run a command on a new connection outside the pool."""
        backend = self._loan_backend if self._has_few_connections else self.own
        link = await backend.connect(COMMAND_TIMEOUT_S)
        is_complete = False
        try:
            async with self.gate.count():
                reply = await _invoke(link, command, arguments)
            is_complete = True
        finally:
            if not is_complete:
                await link.close()
        await link.hand_back()
        return reply

    async def _borrow_if_busy(
        self,
        group: str,
        timeout: float,
        workspace: str | None,
    ) -> ServerLease | None:
        """Borrow a connection if the few own ones are busy."""
        if Policy.BORROWING not in self._policies:
            return None
        if not self._has_few_connections or not self.pool.queue.must_wait(
            group
        ):
            return None
        try:
            lease = await self.loans.acquire(
                group, timeout, workspace=workspace
            )
        except ConnectionError:
            # No lender has one either: the request queues for an own one.
            return None
        return None if isinstance(lease, Refusal) else lease

    def _get_answer_timeout(self) -> float:
        return self.response_times.timeout

    def _back_off(self, now: float) -> None:
        self._failed_at = now
        self._backoff_until = now + self._backoff
        self._backoff = min(self._backoff * 2, MAX_BACKOFF_S)


def _describe_timeout(
    handle: ServerHandle, command: str, timeout: float
) -> str:
    """Return the log text for a command that timed out."""
    queue = handle.pool.queue
    return (
        f'no answer to {command} within {timeout} s, connections: '
        f'{queue.held} of {queue.slots} in use, '
        f'{queue.waiting} waiting, {handle.pool.idle} idle, '
        f'{handle.loans.queue.held} borrowed'
    )


async def _invoke(
    link: BackendLink,
    command: str,
    arguments: tuple[int, ...],
) -> ServerStatus | Rejection:
    reply: ServerStatus | Rejection = await getattr(link, command)(*arguments)
    return reply
