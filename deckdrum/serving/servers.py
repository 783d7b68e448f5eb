"""One backend server as a node uses it: its pool and how it has behaved."""

from collections.abc import Mapping
from typing import Final

import curio

from deckdrum.backends import (
    BackendLink,
    BackendServer,
    ConnectionLimitError,
    Lease,
    Pool,
    ServerStatus,
)
from deckdrum.control import Member
from deckdrum.fleet.borrowing import SharedBackend
from deckdrum.members import GroupShare
from deckdrum.operations import Rejection
from deckdrum.outcomes import Refusal
from deckdrum.sessions import Position
from deckdrum.sessions.position import NOWHERE

#: How long a server that failed is passed over, in seconds; doubled with
#: each failure in a row.
FIRST_AVOIDANCE: Final = 0.2
LONGEST_AVOIDANCE: Final = 1.6
#: Pause after the server refused a connection for want of room, in seconds.
#: Connections of a node that was killed linger for up to 3 s.
FULL_AVOIDANCE: Final = 0.3
#: How long a replica that lacked a position is passed over for reads that
#: need as much, in seconds; doubled while it stays behind.
FIRST_BEHIND: Final = 0.02
LONGEST_BEHIND: Final = 0.32
#: Longest wait for the answer to a question of the product's own, in seconds;
#: far above the round trip (5 ms) and a full queue of short statements.
QUESTION_LIMIT: Final = 0.4
#: Age of a silence, or of an answer, up to which it is told to peers without
#: asking again, in seconds.  A node that asks them has waited longer for an
#: answer of its own.
FRESH_SILENCE: Final = 0.3
FRESH_ANSWER: Final = 0.3
#: Longest wait of such a question for a pooled connection, in seconds; then
#: one beyond the pool is opened, since all may rest in transactions.
CONTROL_WAIT: Final = 0.1
#: Group under which the product's own questions wait for a connection.
_CONTROL_GROUP: Final = ''
_LEARN_RATE: Final = 0.2

ServerLease = Lease[SharedBackend, BackendLink]


class ServerHandle:
    """A node's end of one backend server.

    Parameters
    ----------
    backend : SharedBackend
        Where to connect.
    slots : int
        Most connections that this node opens.
    shares : mapping of str to GroupShare
        Shares of the groups of callers.
    """

    def __init__(
        self,
        backend: SharedBackend,
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        self.backend = backend
        self.pool: Pool[SharedBackend, BackendLink] = Pool(
            backend, slots, shares
        )
        #: Why it last left a question without an answer.
        self.fault = ''
        #: When the server last answered anything, in kernel seconds.
        self.answered_at = float('-inf')
        #: When a question was last left without an answer.
        self.silent_at = float('-inf')
        #: Whether its address last refused or reset a connection.
        self.is_refusing = False
        #: Usual time of a statement, in seconds.
        self.usual_time: float = 0
        self._avoided_until = float('-inf')
        self._avoidance = FIRST_AVOIDANCE
        self._behind_until = float('-inf')
        self._behind_pause = FIRST_BEHIND
        self._lacked = NOWHERE

    @property
    def id(self) -> str:
        """Id of the server."""
        return self.backend.server.id

    @property
    def server(self) -> BackendServer:
        """The server's entry in the directory."""
        return self.backend.server

    @property
    def load(self) -> int:
        """Requests of this node that use the server or wait for it."""
        return self.pool.queue.held + self.pool.queue.waiting

    def update(self, server: BackendServer) -> None:
        """Take over a new entry of the same server."""
        self.backend.server = server

    async def adopt_deal(
        self,
        members: list[Member],
        slots: int,
        shares: Mapping[str, GroupShare],
        *,
        is_holder: bool,
    ) -> None:
        """Hold up to `slots` connections, or borrow from `members`."""
        self.backend.helpers = members
        self.backend.lenders = [] if is_holder else members
        if not is_holder:
            await self.pool.close_idle()
        await self.pool.queue.resize(slots, shares)

    def is_avoided(self, now: float) -> bool:
        """Tell whether requests should go elsewhere if they can."""
        return now < self._avoided_until

    def is_silent(self, now: float) -> bool:
        """Tell whether a question was left unanswered a moment ago."""
        is_fresh = now - self.silent_at < FRESH_SILENCE
        return is_fresh and self.answered_at < self.silent_at

    def has_answered(self, since: float) -> bool:
        """Tell whether the server answered anything after `since`.

        A refusal for want of room is an answer: the server is loaded, and
        not lost.
        """
        return self.answered_at >= since

    def is_behind(self, floor: Position, now: float) -> bool:
        """Tell whether the server has just lacked a position up to `floor`."""
        return now < self._behind_until and floor >= self._lacked

    def note_behind(self, floor: Position, now: float) -> None:
        """Note that the server's log lacks a position."""
        if now < self._behind_until + LONGEST_BEHIND:
            self._behind_pause = min(self._behind_pause * 2, LONGEST_BEHIND)
        else:
            self._behind_pause = FIRST_BEHIND
        self._behind_until = now + self._behind_pause
        self._lacked = floor

    def note_answer(self, now: float, seconds: float | None = None) -> None:
        """Note that the server answered, after `seconds` if it was work."""
        self.answered_at = now
        self.is_refusing = False
        self._avoidance = FIRST_AVOIDANCE
        self._avoided_until = float('-inf')
        if seconds is not None:
            self.usual_time += (seconds - self.usual_time) * _LEARN_RATE

    def note_failure(self, now: float, error: BaseException) -> None:
        """Note that a connection broke or could not be had."""
        if isinstance(error, ConnectionLimitError):
            self.answered_at = now
            self._avoided_until = now + FULL_AVOIDANCE
            return
        self.is_refusing = isinstance(
            error,
            ConnectionRefusedError | ConnectionResetError,
        )
        self._avoid(now)

    def note_silence(self, now: float) -> None:
        """Note that the server left a question without an answer."""
        self.silent_at = now
        self._avoid(now)

    async def acquire(
        self,
        group: str,
        limit: float,
        values: Mapping[str, str],
    ) -> ServerLease | Refusal:
        """Lend a connection, best one that has the session's `values`.

        Raises
        ------
        ConnectionError
            If the server cannot be reached.
        """
        return await self.pool.acquire(
            group,
            limit,
            lambda link: link.state.values == values,
        )

    async def ask_status(
        self,
        limit: float = QUESTION_LIMIT,
    ) -> ServerStatus | None:
        """Ask the server about itself; None if it does not say."""
        return await self.instruct('read_status', limit=limit)

    async def instruct(
        self,
        step: str,
        *arguments: int,
        limit: float = QUESTION_LIMIT,
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
        try:
            async with curio.timeout_after(limit):
                reply = await self._call_step(step, arguments)
        except curio.TaskTimeout:
            queue = self.pool.queue
            self.fault = (
                f'no answer to {step} within {limit} s, connections: '
                f'{queue.held} of {queue.slots} in use, '
                f'{queue.waiting} waiting, {self.pool.idle} idle'
            )
            self.note_silence(await curio.clock())
            return None
        except ConnectionError as error:
            self.fault = f'{step}: {error!r}'
            self.note_failure(await curio.clock(), error)
            return None
        self.note_answer(await curio.clock())
        return None if isinstance(reply, Rejection) else reply

    async def _call_step(
        self,
        step: str,
        arguments: tuple[int, ...],
    ) -> ServerStatus | Rejection:
        """Use a pooled connection, or one beyond if all stay busy."""
        lease = await self.pool.acquire(_CONTROL_GROUP, CONTROL_WAIT)
        if isinstance(lease, Refusal):
            return await self._call_apart(step, arguments)
        is_clean = False
        try:
            reply = await _invoke(lease.link, step, arguments)
            is_clean = True
        finally:
            await self.pool.release(lease, is_clean)
        return reply

    async def _call_apart(
        self,
        step: str,
        arguments: tuple[int, ...],
    ) -> ServerStatus | Rejection:
        link = await self.backend.connect(QUESTION_LIMIT)
        is_whole = False
        try:
            reply = await _invoke(link, step, arguments)
            is_whole = True
        finally:
            if not is_whole:
                await link.close()
        await link.hand_back()
        return reply

    def _avoid(self, now: float) -> None:
        self._avoided_until = now + self._avoidance
        self._avoidance = min(self._avoidance * 2, LONGEST_AVOIDANCE)


async def _invoke(
    link: BackendLink,
    step: str,
    arguments: tuple[int, ...],
) -> ServerStatus | Rejection:
    reply: ServerStatus | Rejection = await getattr(link, step)(*arguments)
    return reply
