"""Fencing the replicas of a group before a promotion, and ranking them.

A fenced replica receives no log of an earlier term, so its position is final.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Final

import curio

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.control.left_servers import LeftServers
from deckdrum.leadership.context import POLL_INTERVAL_S
from deckdrum.leadership.peer_observation import Leader
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle
from deckdrum.sessions import Position

#: Longest wait for enough fenced replicas; after it a group without synchronous
#: replicas continues with those that are fenced.
FENCE_TIMEOUT_S: Final = 1.2
#: Longest wait for a replica to confirm that it is still fenced; it must exceed
#: the time that a full queue of short statements takes.
FENCE_CHECK_TIMEOUT_S: Final = 0.4


@dataclass(frozen=True, slots=True)
class PromotionCandidate:
    """A fenced replica that may be promoted.

    Attributes
    ----------
    handle : ServerHandle
        The replica.
    status : ServerStatus
        Its status when it was fenced.
    """

    handle: ServerHandle
    status: ServerStatus


class ReplicaFencing:
    """Fences the replicas of one group.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    left_servers : LeftServers
        Servers whose entries are gone.
    """

    def __init__(
        self, runtime: ServiceRuntime, left_servers: LeftServers
    ) -> None:
        self._runtime = runtime
        self._left_servers = left_servers
        self._former = ''
        #: End of the log of the primary that has stepped down, if known.
        self.final: Position | None = None

    def describe(self) -> str:
        """Return the last known state of each server, for the log."""
        return '; '.join(
            f'{name}: {_describe_state(handle)}'
            for name, handle in self._runtime.servers.items()
        )

    async def count_reachable_replicas(self, former: str) -> int:
        """Return how many servers other than the former primary answer."""
        self._former = former
        self.final = None
        replicas = self._list_replicas(former)
        tasks = [
            await curio.spawn(_is_responsive, handle) for handle in replicas
        ]
        return sum([await task.join() for task in tasks])

    async def are_still_fenced(
        self,
        fenced: Mapping[str, ServerStatus],
        term: int,
    ) -> bool:
        """Return whether all replicas that were fenced still are."""
        handles = [self._runtime.servers.get(name) for name in fenced]
        tasks = [
            await curio.spawn(_is_still_fenced, handle, term)
            for handle in handles
            if handle is not None
        ]
        confirmed = [await task.join() for task in tasks]
        return len(confirmed) == len(handles) and all(confirmed)

    async def fence(
        self,
        term: int,
        former: str,
        former_term: int = 0,
    ) -> dict[str, ServerStatus]:
        """Fence the replicas; return the states of those that are fenced.

        Replicas that refuse connections are waited for as silent ones are: they
        may run behind a cut and still prove the old term to nodes.

        Parameters
        ----------
        term : int
            Term for which they are fenced.
        former : str
            The primary to be replaced.
        former_term : int
            The term that it led; 0 if unknown.
        """
        self._former = former
        replicas = self._list_replicas(former)
        fenced: dict[str, ServerStatus] = {}
        required = self.required
        async with curio.ignore_after(FENCE_TIMEOUT_S):
            while len(fenced) < len(replicas):
                await _fence_each(replicas, term, former_term, fenced)
                if len(fenced) >= required and len(fenced) + 1 >= len(replicas):
                    break
                await curio.sleep(POLL_INTERVAL_S)
        return fenced

    async def fence_leftovers(
        self,
        term: int,
        former_term: int,
        fenced: Mapping[str, ServerStatus],
    ) -> dict[str, ServerStatus]:
        """Fence what is left of the terms that an unfinished change has ended.

        These terms never resume, so the former primary counts like any other
        server that may have synchronous writes.  It may be a replica again, or
        still lead, and the change does not name it if no node had seen it.  A
        group without synchronous replicas accepts the others, so it needs none
        that has missed a term.

        Returns
        -------
        dict of str to ServerStatus
            The states of all fenced servers.
        """
        every = dict(fenced)
        if self._runtime.declaration.synchronous_replicas:
            handles = list(self._runtime.servers.values())
            # A lost server may not answer at all, and the claim expires.
            async with curio.ignore_after(FENCE_CHECK_TIMEOUT_S):
                await _fence_each(handles, term, former_term + 1, every)
        return every

    async def find_leader(
        self, former_term: int, fenced: Mapping[str, ServerStatus]
    ) -> Leader | None:
        """Return a server that leads a later term, if no other one matters.

        Others that are not fenced may have been promoted as well.  None of
        their writes was confirmed by a synchronous replica if the fenced ones
        have received nothing of a later term.
        """
        if not self._runtime.declaration.synchronous_replicas:
            return None
        handles = self._runtime.servers.values()
        handle = max(handles, key=_get_led_term, default=None)
        if handle is None or handle.status is None:
            return None
        term = _get_led_term(handle)
        if term <= former_term:
            return None
        received = [status.received.term for status in fenced.values()]
        if max(received, default=0) > term:
            return None
        # It has all the writes that it has acknowledged itself.
        complete = {**fenced, handle.id: handle.status}
        is_enough = await self.is_enough(complete)
        return Leader(handle.id, term) if is_enough else None

    async def is_enough(self, fenced: Mapping[str, ServerStatus]) -> bool:
        """Return whether a change may continue with these fenced replicas.

        A group without synchronous replicas accepts fewer than required, so
        that a server that is lost for good does not block its failover.

        Servers whose entries are gone may have confirmed writes.  They do not
        matter if a replica has the whole log of a primary that stepped down.
        """
        synchronous = self._runtime.declaration.synchronous_replicas
        if not synchronous:
            return len(fenced) >= self.required or bool(fenced)
        if len(fenced) < self.required:
            return False
        final = self.final
        if final is not None and any(
            status.received >= final for status in fenced.values()
        ):
            return True
        left = self._left_servers.list_names(
            self._runtime.name, await curio.clock()
        )
        names = self._list_names() | left
        return len(fenced) >= len(names) - synchronous

    @property
    def required(self) -> int:
        """Number of replicas that must be fenced.

        Enough that no node can get proof of the old term, and that one of
        them has every write that was acknowledged by synchronous replicas.
        The former primary counts as a server also when its entry is gone:
        nodes that still list it need fewer proofs than replicas remain.
        """
        names = self._list_names()
        required = max(1, len(names) - len(names) // 2)
        synchronous = self._runtime.declaration.synchronous_replicas
        if not synchronous:
            return required
        return max(required, len(names) - synchronous)

    def list_unfenced(
        self, fenced: Mapping[str, ServerStatus], former: str
    ) -> list[ServerHandle]:
        """Return the servers but the former primary that are not fenced."""
        return [
            handle
            for handle in self._list_replicas(former)
            if handle.id not in fenced
        ]

    def _list_replicas(self, former: str) -> list[ServerHandle]:
        return [
            handle
            for name, handle in self._runtime.servers.items()
            if name != former
        ]

    def _list_names(self) -> set[str]:
        """Return the servers that are known, and the former primary."""
        names = set(self._runtime.servers)
        if self._former:
            names.add(self._former)
        return names


def rank_promotion_candidates(
    runtime: ServiceRuntime,
    fenced: dict[str, ServerStatus],
    former: str,
) -> list[PromotionCandidate]:
    """Return the replicas that may be promoted, the best first.

    The most advanced log comes first; among equals, servers that are not
    draining, and the former primary last: the platform may take it for the
    present one.  With synchronous replicas only the most advanced are returned.
    """
    eligible = {
        name: status
        for name, status in fenced.items()
        if runtime.is_promotable(name, status.received)
    }
    end = max((each.received for each in eligible.values()), default=None)
    ranked = sorted(
        (
            PromotionCandidate(handle, eligible[name])
            for name, handle in runtime.servers.items()
            if name in eligible
        ),
        key=partial(_get_rank, former),
    )
    if not runtime.declaration.synchronous_replicas:
        return ranked
    return [each for each in ranked if each.status.received == end]


def _get_rank(
    former: str, candidate: PromotionCandidate
) -> tuple[int, int, bool, bool, str]:
    received = candidate.status.received
    handle = candidate.handle
    return (
        -received.term,
        -received.offset,
        handle.id == former,
        handle.server.is_draining,
        handle.id,
    )


def _get_led_term(handle: ServerHandle) -> int:
    """Return the term that a server said it leads; 0 if none."""
    status = handle.status
    if status is None or status.role is not ServerRole.PRIMARY:
        return 0
    return status.term


def _describe_state(handle: ServerHandle) -> str:
    status = handle.status
    if status is None:
        return handle.last_error
    end = status.received
    return (
        f'{status.role} of term {status.term} up to {end.term}.{end.offset}, '
        f'fenced for {status.fenced_term}'
    )


async def _is_responsive(handle: ServerHandle) -> bool:
    """Return whether a server answers at all, if only that it is full."""
    asked_at = await curio.clock()
    status = await handle.query_status_shared()
    return status is not None or handle.has_answered(asked_at)


async def _is_still_fenced(handle: ServerHandle, term: int) -> bool:
    """Return whether a replica is still fenced; retry while it is full."""
    async with curio.ignore_after(FENCE_CHECK_TIMEOUT_S):
        while True:
            status = await handle.query_status()
            if status is not None:
                return status.fenced_term >= term
            await curio.sleep(POLL_INTERVAL_S)
    return False


async def _fence_each(
    replicas: Iterable[ServerHandle],
    term: int,
    former_term: int,
    fenced: dict[str, ServerStatus],
) -> None:
    async with curio.TaskGroup() as fencing:
        for handle in replicas:
            if handle.id not in fenced:
                await fencing.spawn(
                    _fence_one, handle, term, former_term, fenced
                )


async def _fence_one(
    handle: ServerHandle,
    term: int,
    former_term: int,
    fenced: dict[str, ServerStatus],
) -> None:
    status = await handle.execute_command('hold', term)
    if status is None:
        return
    if status.role is ServerRole.PRIMARY and status.term < former_term:
        # A primary that was replaced and has not met its successor since.  Only
        # replicas can be fenced.
        await handle.execute_command('step_down', former_term)
        status = await handle.execute_command('hold', term)
    if status is not None and status.fenced_term >= term:
        fenced[handle.id] = status
