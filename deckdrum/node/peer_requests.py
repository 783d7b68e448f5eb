"""Handling requests that other nodes send to this one."""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.backends import ServerRole
from deckdrum.fleet.base import Message
from deckdrum.fleet.limit_messages import (
    AskLimit,
    AskLimitShare,
    LimitAnswer,
    ReturnToken,
)
from deckdrum.fleet.load_messages import (
    AskLoad,
    AskSlots,
    LoadAnswer,
    SlotsAnswer,
)
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_messages import (
    AskProof,
    AskSample,
    AskServer,
    EndTerm,
    ProofAnswer,
    SampleAnswer,
    ServerAnswer,
    TermEnded,
)
from deckdrum.limits import LimitCounter
from deckdrum.serving.load_reports import build_load_answer
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import RECENT_ANSWER_WINDOW_S, ServerHandle

_NOT_REACHED_AS_PRIMARY: Final = ServerAnswer(reached=False, leads_term=0)


class PeerRequestHandler:
    """Answers requests of peers from this node's state and connections.

    Parameters
    ----------
    services : mapping of str to ServiceRuntime
        Database groups of this node, by name.
    limits : LimitCounter
        Counts the operations of workspaces that this node coordinates.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceRuntime],
        limits: LimitCounter,
    ) -> None:
        self._services = services
        self._limits = limits

    async def handle(self, request: Message) -> Message | None:
        """Return the response; None if the request cannot be answered."""
        respond = _HANDLERS.get(type(request))
        return None if respond is None else await respond(self, request)

    async def _echo(self, request: Heartbeat) -> Message:
        return request

    async def _report_server(self, request: AskServer) -> Message:
        runtime = self._services.get(request.service)
        handle = runtime.servers.get(request.server) if runtime else None
        if runtime is None or handle is None:
            return _NOT_REACHED_AS_PRIMARY
        if runtime.leadership_state.has_restarted(request.server):
            # A restarted server has an empty log, so it is no usable primary
            # even if it reports that role.
            return _NOT_REACHED_AS_PRIMARY
        now = await curio.clock()
        if _has_answered_as_primary(
            runtime, handle, now - RECENT_ANSWER_WINDOW_S
        ):
            return ServerAnswer(
                reached=True, leads_term=runtime.leadership_state.term
            )
        if handle.has_recent_timeout(now):
            return _NOT_REACHED_AS_PRIMARY
        status = await handle.query_status_shared()
        if status is not None and status.role is ServerRole.PRIMARY:
            return ServerAnswer(reached=True, leads_term=status.term)
        if status is None and _has_answered_as_primary(runtime, handle, now):
            # The server rejected the status request because it is at capacity,
            # which shows that it is up.
            return ServerAnswer(
                reached=True, leads_term=runtime.leadership_state.term
            )
        return _NOT_REACHED_AS_PRIMARY

    async def _report_proof(self, request: AskProof) -> Message:
        runtime = self._services.get(request.service)
        if runtime is None:
            return ProofAnswer(-1)
        return ProofAnswer(await runtime.fetch_proof_age(request.term))

    async def _report_sample(self, request: AskSample) -> Message:
        runtime = self._services.get(request.service)
        if runtime is None:
            return SampleAnswer(0, 0, -1)
        return await runtime.samples.share_sample()

    async def _report_load(self, request: AskLoad) -> Message:
        runtime = self._services.get(request.service)
        if runtime is None:
            return LoadAnswer()
        return build_load_answer(runtime, await curio.clock())

    async def _count_operation(self, request: AskLimit) -> Message:
        return await self._limits.answer(request)

    async def _lend_slots(self, request: AskSlots) -> Message:
        runtime = self._services.get(request.service)
        if runtime is None:
            return SlotsAnswer(0, 0)
        return await runtime.slots.answer(request)

    async def _take_back_token(self, request: ReturnToken) -> Message:
        self._limits.return_token(request.workspace)
        return LimitAnswer(is_kept=True, wait=0)

    async def _lend_limit_share(self, request: AskLimitShare) -> Message:
        return await self._limits.shares.answer(request)

    async def _end_term(self, request: EndTerm) -> Message | None:
        """End a term; None for a group that this node has not opened yet.

        Once it has, it may get proof of the term, so it confirms nothing.
        """
        runtime = self._services.get(request.service)
        if runtime is None:
            return None
        await runtime.close_term(
            request.term,
            request.may_finish,
            request.fence,
        )
        state = runtime.leadership_state
        if state.has_primary:
            return TermEnded(
                request.service, request.term, state.term, state.primary
            )
        return TermEnded(request.service, request.term)


def _has_answered_as_primary(
    runtime: ServiceRuntime,
    handle: ServerHandle,
    since: float,
) -> bool:
    state = runtime.leadership_state
    is_primary = state.has_primary and state.primary == handle.id
    return is_primary and handle.has_answered(since)


_HandlerMethod = Callable[[PeerRequestHandler, Any], Awaitable[Message | None]]
_Handlers = MappingProxyType[type[Message], _HandlerMethod]
_HANDLERS: Final[_Handlers] = MappingProxyType(
    {
        Heartbeat: PeerRequestHandler._echo,
        AskLimit: PeerRequestHandler._count_operation,
        AskLoad: PeerRequestHandler._report_load,
        AskLimitShare: PeerRequestHandler._lend_limit_share,
        ReturnToken: PeerRequestHandler._take_back_token,
        AskProof: PeerRequestHandler._report_proof,
        AskSample: PeerRequestHandler._report_sample,
        AskServer: PeerRequestHandler._report_server,
        AskSlots: PeerRequestHandler._lend_slots,
        EndTerm: PeerRequestHandler._end_term,
    },
)
