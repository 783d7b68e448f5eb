"""Answering the questions of other nodes about primaries."""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.backends import ServerRole
from deckdrum.fleet.base import Message
from deckdrum.fleet.limits import AskLimit
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
from deckdrum.serving.servers import RECENT_ANSWER_WINDOW_S, ServerHandle
from deckdrum.serving.service import ServiceRuntime

_NOT_REACHED_AS_PRIMARY: Final = ServerAnswer(reached=False, leads_term=0)


class PeerRequestHandler:
    """Answers questions from what this node knows and reaches.

    Parameters
    ----------
    services : mapping of str to ServiceRuntime
        The node's database groups.
    limits : LimitCounter
        Counts for workspaces.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceRuntime],
        limits: LimitCounter,
    ) -> None:
        self._services = services
        self._limits = limits

    async def answer(self, question: Message) -> Message | None:
        """Return the answer to a question; None if it is no question."""
        reply = _HANDLERS.get(type(question))
        return None if reply is None else await reply(self, question)

    async def _send_back(self, question: Heartbeat) -> Message:
        return question

    async def _report_server(self, question: AskServer) -> Message:
        runtime = self._services.get(question.service)
        handle = runtime.servers.get(question.server) if runtime else None
        if runtime is None or handle is None:
            return _NOT_REACHED_AS_PRIMARY
        if runtime.leadership_state.has_restarted(question.server):
            # Its word that it leads is of no use: its log is empty.
            return _NOT_REACHED_AS_PRIMARY
        now = await curio.clock()
        if _has_answered_as_primary(
            runtime, handle, now - RECENT_ANSWER_WINDOW_S
        ):
            return ServerAnswer(
                reached=True, leads_term=runtime.leadership_state.term
            )
        if handle.is_silent(now):
            return _NOT_REACHED_AS_PRIMARY
        status = await handle.query_status_shared()
        if status is not None and status.role is ServerRole.PRIMARY:
            return ServerAnswer(reached=True, leads_term=status.term)
        if status is None and _has_answered_as_primary(runtime, handle, now):
            # It refused the question for want of room.
            return ServerAnswer(
                reached=True, leads_term=runtime.leadership_state.term
            )
        return _NOT_REACHED_AS_PRIMARY

    async def _tell_proof(self, question: AskProof) -> Message:
        runtime = self._services.get(question.service)
        if runtime is None:
            return ProofAnswer(-1)
        return ProofAnswer(await runtime.fetch_proof_age(question.term))

    async def _report_sample(self, question: AskSample) -> Message:
        runtime = self._services.get(question.service)
        if runtime is None:
            return SampleAnswer(0, 0, -1)
        return await runtime.samples.tell()

    async def _count_operation(self, question: AskLimit) -> Message:
        return await self._limits.answer(question)

    async def _end_term(self, question: EndTerm) -> Message:
        runtime = self._services.get(question.service)
        if runtime is not None:
            await runtime.close_term(
                question.term,
                question.may_finish,
                question.fence,
            )
        return TermEnded(question.service, question.term)


def _has_answered_as_primary(
    runtime: ServiceRuntime,
    handle: ServerHandle,
    since: float,
) -> bool:
    is_primary = runtime.leadership_state.primary == handle.id
    return is_primary and handle.has_answered(since)


_Reply = Callable[[PeerRequestHandler, Any], Awaitable[Message]]
_Replies = MappingProxyType[type[Message], _Reply]
_HANDLERS: Final[_Replies] = MappingProxyType(
    {
        Heartbeat: PeerRequestHandler._send_back,
        AskLimit: PeerRequestHandler._count_operation,
        AskProof: PeerRequestHandler._tell_proof,
        AskSample: PeerRequestHandler._report_sample,
        AskServer: PeerRequestHandler._report_server,
        EndTerm: PeerRequestHandler._end_term,
    },
)
