"""Having the replicas of a group hold their logs, and ranking them."""

from collections.abc import Iterable, Mapping
from typing import Final

import curio

from deckdrum.backends import ServerStatus
from deckdrum.leadership.context import POLL_INTERVAL_S
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.service import ServiceRuntime

#: Longest wait for enough replicas to hold, in seconds; after it a group
#: without synchronous replicas goes on with those that there are.
FENCE_TIMEOUT_S: Final = 1.2
#: Longest wait for a replica to say that it holds still, in seconds; longer
#: than a full queue of short statements takes.
FENCE_CHECK_TIMEOUT_S: Final = 0.4


class ReplicaFencing:
    """Has the replicas of one group hold.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    """

    def __init__(self, runtime: ServiceRuntime) -> None:
        self._runtime = runtime

    def describe(self) -> str:
        """Return what each server last said of itself, for the log."""
        return '; '.join(
            f'{name}: {_describe_state(handle)}'
            for name, handle in self._runtime.servers.items()
        )

    async def count_reachable_replicas(self, former: str) -> int:
        """Return how many of the servers but the former primary answer."""
        replicas = self._list_replicas(former)
        asking = [await curio.spawn(_answers, handle) for handle in replicas]
        return sum([await task.join() for task in asking])

    async def are_still_fenced(
        self,
        held: Mapping[str, ServerStatus],
        term: int,
    ) -> bool:
        """Tell whether all that were found to hold do so without a break."""
        handles = [self._runtime.servers.get(name) for name in held]
        asking = [
            await curio.spawn(_holds_still, handle, term)
            for handle in handles
            if handle is not None
        ]
        holding = [await task.join() for task in asking]
        return len(holding) == len(handles) and all(holding)

    async def hold(
        self,
        term: int,
        former: str,
    ) -> dict[str, ServerStatus] | None:
        """Have the replicas hold; return their states, None if too few."""
        replicas = self._list_replicas(former)
        held: dict[str, ServerStatus] = {}
        needed = self.needed
        async with curio.ignore_after(FENCE_TIMEOUT_S):
            while len(held) < len(replicas):
                await _hold_each(replicas, term, held)
                if len(held) >= needed and len(held) + 1 >= len(replicas):
                    break
                missing = [each for each in replicas if each.id not in held]
                is_dead = all(each.is_refusing for each in missing)
                if is_dead and self._may_go_on(held):
                    break
                await curio.sleep(POLL_INTERVAL_S)
        if len(held) >= needed or self._may_go_on(held):
            return held
        return None

    @property
    def needed(self) -> int:
        """How many replicas must hold.

        Enough that no node finds proof of the old term, and that one of
        them has each change that a synchronous replica has received.
        """
        leadership_state = self._runtime.leadership_state
        replicas = len(self._runtime.servers) - 1
        synchronous = self._runtime.declaration.synchronous_replicas
        if not synchronous:
            return leadership_state.required_fenced_replicas
        return max(
            leadership_state.required_fenced_replicas,
            replicas - synchronous + 1,
        )

    def _list_replicas(self, former: str) -> list[ServerHandle]:
        return [
            handle
            for name, handle in self._runtime.servers.items()
            if name != former
        ]

    def _may_go_on(self, held: dict[str, ServerStatus]) -> bool:
        """Tell whether fewer holds than needed will do, after a wait.

        A change that was acknowledged by synchronous replicas must not be
        missing; without them a server that is gone for good must not keep
        the group without a primary.
        """
        synchronous = self._runtime.declaration.synchronous_replicas
        return bool(held) and not synchronous


def rank_promotion_candidates(
    runtime: ServiceRuntime,
    held: dict[str, ServerStatus],
    former: str,
) -> list[ServerHandle]:
    """Return who may lead, the best first.

    The furthest log goes first, and of equals one that is to stay.  Others
    follow only in a group whose changes need no synchronous replica.
    """
    fitting = {
        name: status
        for name, status in held.items()
        if runtime.has_log(name, status.received)
    }
    end = max((each.received for each in fitting.values()), default=None)
    ranked = sorted(
        (
            handle
            for name, handle in runtime.servers.items()
            if name in fitting and name != former
        ),
        key=lambda handle: (
            -held[handle.id].received.term,
            -held[handle.id].received.offset,
            handle.server.is_draining,
            handle.id,
        ),
    )
    if not runtime.declaration.synchronous_replicas:
        return ranked
    return [handle for handle in ranked if held[handle.id].received == end]


def _describe_state(handle: ServerHandle) -> str:
    status = handle.status
    if status is None:
        return handle.fault
    end = status.received
    return (
        f'{status.role} of term {status.term} up to {end.term}.{end.offset}, '
        f'holds for {status.held_term}'
    )


async def _answers(handle: ServerHandle) -> bool:
    """Tell whether a server says anything; one without room says so."""
    asked_at = await curio.clock()
    status = await handle.query_status_shared()
    return status is not None or handle.has_answered(asked_at)


async def _holds_still(handle: ServerHandle, term: int) -> bool:
    """Tell whether a replica says that it holds; one without room may wait."""
    async with curio.ignore_after(FENCE_CHECK_TIMEOUT_S):
        while True:
            status = await handle.query_status()
            if status is not None:
                return status.held_term >= term
            await curio.sleep(POLL_INTERVAL_S)
    return False


async def _hold_each(
    replicas: Iterable[ServerHandle],
    term: int,
    held: dict[str, ServerStatus],
) -> None:
    async with curio.TaskGroup() as holding:
        for handle in replicas:
            if handle.id not in held:
                await holding.spawn(_hold_one, handle, term, held)


async def _hold_one(
    handle: ServerHandle,
    term: int,
    held: dict[str, ServerStatus],
) -> None:
    status = await handle.execute_command('hold', term)
    if status is not None and status.held_term >= term:
        held[handle.id] = status
