"""Running statements with retries, until an answer or the end of the time."""

from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.control import Route
from deckdrum.operations import (
    Answer,
    Begin,
    Effect,
    Rejection,
    RejectionCause,
    Request,
)
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.serving.attempts import (
    Attempt,
    AttemptEnd,
    Lost,
    release_link,
)
from deckdrum.serving.routing import Router, Target
from deckdrum.serving.service import ServiceRuntime
from deckdrum.serving.state import Pin, SessionState

#: Time kept at the end of a statement's limit for the answer to arrive, in s.
ANSWER_MARGIN: Final = 0.04
#: Silence of a server after which it is looked at, and a read is tried on
#: another server, in seconds; several times a usual statement (6 to 40 ms).
SILENCE: Final = 0.25
#: Part of the time after which a read is tried elsewhere although its server
#: answers others: its answer may be lost.
LOST_ANSWER_PART: Final = 0.4
#: Longest wait for a primary while another server works on a read, in s.
HEDGE_WAIT: Final = 0.02
#: First and longest pause after every server has refused, in seconds.
FIRST_PAUSE: Final = 0.01
LONGEST_PAUSE: Final = 0.08
#: Tries of one statement; more means that something is wrong beyond luck.
MAX_TRIES: Final = 12
#: Most servers that work on one read at a time.
MAX_RUNNING: Final = 3
#: Statements at a moment that may be tried again on account of failures,
#: refilled by each success; keeps retries a small part of the load.
RETRY_RESERVE: Final = 20.0
RETRY_REFILL: Final = 0.1


class RetryBudget:
    """Bounds retries after failures to a part of what succeeds.

    Examples
    --------
    >>> budget = RetryBudget(reserve=1, refill=0.5)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.note_success()
    >>> budget.note_success()
    >>> budget.take()
    True
    """

    def __init__(
        self,
        reserve: float = RETRY_RESERVE,
        refill: float = RETRY_REFILL,
    ) -> None:
        self._reserve = reserve
        self._refill = refill
        self._left = reserve

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self._left = min(self._reserve, self._left + self._refill)

    def take(self) -> bool:
        """Spend one retry; tell whether there was one."""
        if self._left < 1:
            return False
        self._left -= 1
        return True


@dataclass(slots=True)
class _Search:
    """One statement's way from server to server."""

    request: Request
    state: SessionState
    begin: Begin | None
    is_read: bool
    began: float
    deadline: float
    tries: int = 0
    pause: float = FIRST_PAUSE
    passed_over: set[str] = field(default_factory=set)
    last: Rejection | Lost | Refusal | None = None
    #: Ends of tries, in the order in which they came.
    ends: Any = field(default_factory=curio.Queue)
    running: int = 0
    is_over: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a try whose answer is lost leaves nothing behind.

        A read changes nothing, and a transaction that has just begun is
        rolled back with its connection.
        """
        return self.is_read or self.begin is not None


@dataclass(frozen=True, slots=True)
class _Ended:
    """A try and its end."""

    attempt: Attempt
    target: Target
    end: AttemptEnd


@dataclass(frozen=True, slots=True)
class Begun:
    """A transaction that has begun with its first statement."""

    answer: Answer
    pin: Pin


class Execution:
    """Runs statements of callers on one database group.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    router : Router
        Chooses its servers.
    """

    def __init__(self, runtime: ServiceRuntime, router: Router) -> None:
        self.runtime = runtime
        self._router = router
        self._budget = RetryBudget()

    async def run_single(
        self,
        request: Request,
        effect: Effect,
        route: Route,
        state: SessionState,
    ) -> Answer | Refusal:
        """Run a statement outside a transaction."""
        is_read = effect is Effect.READ
        search = await self._start(request, route, state, None, is_read)
        ended = await self._search_to_end(search, route)
        if isinstance(ended, Refusal):
            return ended
        if is_read:
            return ended[1]
        return await self.vouch(ended[1], ended[0].target.term, state)

    async def begin(
        self,
        request: Request,
        begin: Begin,
        route: Route,
        state: SessionState,
    ) -> Begun | Refusal:
        """Open a transaction on a server with its first statement."""
        is_read = begin.read_only
        search = await self._start(request, route, state, begin, is_read)
        ended = await self._search_to_end(search, route)
        if isinstance(ended, Refusal):
            return ended
        target = ended[0].target
        lease = ended[0].attempt.lease
        if lease is None:
            raise BrokenInvariantError('a transaction without a connection')
        pin = Pin(target.handle, lease, target.term, target.is_primary)
        return Begun(ended[1], pin)

    async def vouch(
        self,
        answer: Answer,
        term: int,
        state: SessionState,
    ) -> Answer | Refusal:
        """Release the answer of a change only if its term has not ended."""
        belief = self.runtime.belief
        is_released = belief.may_release(term, await curio.clock())
        if not is_released and belief.term == term:
            await self.runtime.prove()
            is_released = belief.may_release(term, await curio.clock())
        if not is_released:
            self.runtime.counters.count('unvouched_changes')
            self.runtime.journal.record_often(
                'change.unvouched',
                service=self.runtime.name,
                term=term,
                known_term=belief.term,
                ended_term=belief.ended_term,
                closed_term=belief.closed_term,
                proof_until=belief.read_valid_until(),
            )
            return refuse(Code.UNCONFIRMED, f'term {term} has ended')
        if answer.position is not None:
            state.floor = max(state.floor, answer.position)
        return answer

    def explain(self, refusal: Refusal, request: Request, search: str) -> None:
        """Log why a request got no success."""
        self.runtime.journal.record_often(
            'request.refused',
            request=request.id,
            service=self.runtime.name,
            code=refusal.code,
            fate=refusal.fate,
            term=self.runtime.belief.term,
            primary=self.runtime.belief.primary,
            reason=search,
        )

    async def _start(
        self,
        request: Request,
        route: Route,
        state: SessionState,
        begin: Begin | None,
        is_read: bool,
    ) -> _Search:
        await self.runtime.admit_group(route)
        now = await curio.clock()
        limit = route.statement_limit - ANSWER_MARGIN
        return _Search(request, state, begin, is_read, now, now + limit)

    async def _search_to_end(
        self,
        search: _Search,
        route: Route,
    ) -> tuple[_Ended, Answer] | Refusal:
        """Search, and free what tries that come too late have taken."""
        try:
            return await self._search(search, route)
        finally:
            search.is_over = True
            while not search.ends.empty():
                await _drop_late(await search.ends.get())

    async def _search(
        self,
        search: _Search,
        route: Route,
    ) -> tuple[_Ended, Answer] | Refusal:
        """Try servers until one answers with success."""
        while True:
            refusal = await self._launch(search, route)
            if refusal is not None and not search.running:
                self.explain(refusal, search.request, _describe(search))
                return refusal
            ended = await self._await_end(search, route)
            if ended is None:
                continue
            if isinstance(ended.end, Answer):
                await self._note_success(search, ended)
                return ended, ended.end
            refusal = await self._weigh(search, ended)
            if refusal is not None:
                self.explain(refusal, search.request, _describe(search))
                return refusal

    async def _launch(self, search: _Search, route: Route) -> Refusal | None:
        """Start one more try; return a refusal if there can be none."""
        now = await curio.clock()
        remaining = search.deadline - now
        if remaining <= 0 or search.tries >= MAX_TRIES:
            return self._give_up(search)
        target = await self._choose(search, route, remaining)
        if target is None:
            return self._give_up(search)
        if search.running and target.handle.id in search.passed_over:
            # The only server that may run it works on it already.
            return None
        search.tries += 1
        search.running += 1
        # A second try beside this one goes to another server.
        search.passed_over.add(target.handle.id)
        if not target.is_primary:
            await curio.spawn(self._router.keep_sampled, route, daemon=True)
        attempt = Attempt(
            target.handle,
            search.state,
            search.request.operation,
            search.request.id,
            target.floor,
            search.deadline,
            search.begin,
        )
        await curio.spawn(
            self._run_attempt, search, attempt, target, daemon=True
        )
        return None

    async def _choose(
        self,
        search: _Search,
        route: Route,
        remaining: float,
    ) -> Target | None:
        if search.running:
            # The other server may answer meanwhile.
            remaining = min(remaining, HEDGE_WAIT)
        if search.is_read:
            return await self._router.choose_reader(
                route,
                search.state,
                search.passed_over,
                remaining,
            )
        return await self._router.choose_primary(remaining)

    async def _run_attempt(
        self,
        search: _Search,
        attempt: Attempt,
        target: Target,
    ) -> None:
        if target.is_primary:
            self.runtime.in_flight += 1
        try:
            end = await attempt.run()
        finally:
            if target.is_primary:
                self.runtime.in_flight -= 1
        if isinstance(end, Lost):
            self.runtime.report_trouble(attempt.handle)
        elif not isinstance(end, Refusal):
            self._note_position(attempt, target, end)
        ended = _Ended(attempt, target, end)
        if search.is_over:
            await _drop_late(ended)
        else:
            await search.ends.put(ended)

    def _note_position(
        self,
        attempt: Attempt,
        target: Target,
        end: Answer | Rejection,
    ) -> None:
        if target.is_primary and isinstance(end, Answer) and end.position:
            self.runtime.note_position(end.position, attempt.started_at)

    async def _await_end(
        self,
        search: _Search,
        route: Route,
    ) -> _Ended | None:
        """Return the next end of a try; None to try another server too."""
        patience = SILENCE
        began = await curio.clock()
        while True:
            async with curio.ignore_after(patience):
                ended: _Ended = await search.ends.get()
                search.running -= 1
                return ended
            now = await curio.clock()
            if self._should_try_another(search, began, now):
                return None

    def _should_try_another(
        self,
        search: _Search,
        began: float,
        now: float,
    ) -> bool:
        """Look at silent servers; tell whether to hedge a read."""
        silent = [
            handle
            for handle in self.runtime.servers.values()
            if handle.load and handle.answered_at < began
        ]
        for handle in silent:
            self.runtime.report_trouble(handle)
        if not search.is_read or search.running >= MAX_RUNNING:
            return False
        is_silent = bool(silent)
        half_time = (search.deadline - began) * LOST_ANSWER_PART
        if not is_silent and now - began < half_time:
            return False
        return now < search.deadline and self._budget.take()

    async def _weigh(
        self,
        search: _Search,
        ended: _Ended,
    ) -> Refusal | None:
        """Decide after a failed try: a refusal, or None to go on."""
        end = ended.end
        if isinstance(end, Answer):
            raise BrokenInvariantError('a success is no failed try')
        search.last = end
        now = await curio.clock()
        if isinstance(end, Rejection):
            return await self._weigh_rejection(search, ended, end, now)
        if isinstance(end, Refusal):
            # The queue of this server is full; another may have room.
            return await self._rest(search, ended.target)
        if not end.was_sent or search.is_repeatable:
            return await self._rest(search, ended.target)
        code = Code.TIMED_OUT if end.is_late else Code.CONNECTION_LOST
        return refuse(code, end.reason)

    async def _weigh_rejection(
        self,
        search: _Search,
        ended: _Ended,
        end: Rejection,
        now: float,
    ) -> Refusal | None:
        handle = ended.target.handle
        if end.cause is RejectionCause.BEHIND and ended.target.floor:
            handle.note_behind(ended.target.floor, now)
            return None
        if end.cause is RejectionCause.NOT_PRIMARY:
            await self.runtime.belief.lose_primary(
                handle.id, 'it refuses changes'
            )
            return await self._rest(search, ended.target)
        if end.cause.is_not_run:
            return await self._rest(search, ended.target)
        if search.is_read and self._budget.take():
            return None
        if search.begin is not None:
            return refuse(Code.TRANSACTION_LOST, end.text)
        code = (
            Code.TIMED_OUT
            if end.cause is RejectionCause.TIMED_OUT
            else Code.STATEMENT_FAILED
        )
        return refuse(code, end.text)

    async def _rest(
        self,
        search: _Search,
        target: Target,
    ) -> Refusal | None:
        """Pause unless another server is left that may run the statement."""
        if not target.is_primary:
            # The next replica, or the primary if there is none.
            return None
        search.passed_over.clear()
        if await curio.clock() + search.pause >= search.deadline:
            return self._give_up(search)
        await curio.sleep(search.pause)
        search.pause = min(search.pause * 2, LONGEST_PAUSE)
        return None

    def _give_up(self, search: _Search) -> Refusal:
        """Return the refusal for a statement that nobody has run."""
        last = search.last
        if isinstance(last, Lost) and last.was_sent:
            # Only what leaves nothing behind is tried again after a loss.
            return refuse(Code.TRANSACTION_LOST, 'no server answered it')
        if isinstance(last, Refusal):
            return last
        if isinstance(last, Rejection):
            return refuse(Code.PRIMARY_REFUSED, f'{last.cause}: {last.text}')
        if self.runtime.primary is None:
            return refuse(Code.NO_PRIMARY, f'service {self.runtime.name}')
        return refuse(Code.READ_NOT_POSSIBLE, 'no server took it in time')

    async def _note_success(self, search: _Search, ended: _Ended) -> None:
        self._budget.note_success()
        target = ended.target
        role = 'primary' if target.is_primary else 'replica'
        kind = 'read' if search.is_read else 'change'
        self.runtime.counters.count_served(search.state.database, kind, role)
        now = await curio.clock()
        self.runtime.journal.record_often(
            'request.served',
            request=search.request.id,
            database=search.state.database,
            kind=kind,
            server=target.handle.id,
            role=role,
            term=target.term,
            floor=str(target.floor),
            proof_left=round(self.runtime.belief.read_valid_until() - now, 3),
            tries=search.tries,
            seconds=round(now - search.began, 3),
        )


def _describe(search: _Search) -> str:
    return f'{search.tries} tries, last: {search.last}'


async def _drop_late(ended: _Ended) -> None:
    """Give back the connection of a try whose answer nobody waits for."""
    lease = ended.attempt.lease
    if lease is not None and isinstance(ended.end, Answer):
        await release_link(ended.target.handle, lease, ended.end.standing)
