"""Answering the questions of other nodes about primaries."""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.control import Kind, StoreFeed
from deckdrum.fleet.base import Message
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.questions import (
    AskProof,
    AskServer,
    AskTerm,
    EndTerm,
    ProofAnswer,
    ServerAnswer,
    TermAnswer,
    TermEnded,
)
from deckdrum.serving.servers import FRESH_ANSWER, ServerHandle
from deckdrum.serving.service import ServiceRuntime

#: Longest wait for a server that a peer asks about, in seconds.
SERVER_LIMIT: Final = 0.4
_NOT_REACHED: Final = ServerAnswer(reached=False, leads_term=0)


class Answerer:
    """Answers questions from what this node knows and reaches.

    Parameters
    ----------
    services : mapping of str to ServiceRuntime
        The node's database groups.
    feed : StoreFeed
        Knows what the store has answered.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceRuntime],
        feed: StoreFeed,
    ) -> None:
        self._services = services
        #: Questions to servers that are under way.
        self._asking: dict[str, Any] = {}
        self._feed = feed

    async def answer(self, question: Message) -> Message | None:
        """Return the answer to a question; None if it is no question."""
        reply = _REPLIES.get(type(question))
        return None if reply is None else await reply(self, question)

    async def _send_back(self, question: Heartbeat) -> Message:
        return question

    async def _tell_server(self, question: AskServer) -> Message:
        runtime = self._services.get(question.service)
        handle = runtime.servers.get(question.server) if runtime else None
        if runtime is None or handle is None:
            return _NOT_REACHED
        now = await curio.clock()
        if _has_answered_as_primary(runtime, handle, now - FRESH_ANSWER):
            return ServerAnswer(reached=True, leads_term=runtime.belief.term)
        if handle.is_silent(now):
            return _NOT_REACHED
        status = await self._ask_once(handle)
        if status is not None and status.role is ServerRole.PRIMARY:
            return ServerAnswer(reached=True, leads_term=status.term)
        if status is None and _has_answered_as_primary(runtime, handle, now):
            # It refused the question for want of room.
            return ServerAnswer(reached=True, leads_term=runtime.belief.term)
        return _NOT_REACHED

    async def _ask_once(self, handle: ServerHandle) -> ServerStatus | None:
        """Ask a server for all peers that want to know at the same time."""
        task: Any = self._asking.get(handle.id)
        if task is None:
            task = await curio.spawn(
                handle.ask_status,
                SERVER_LIMIT,
                daemon=True,
            )
            self._asking[handle.id] = task
        await task.wait()
        if self._asking.get(handle.id) is task:
            self._asking.pop(handle.id)
        status: ServerStatus | None = task.result
        return status

    async def _tell_term(self, question: AskTerm) -> Message:
        # A node that has just started may have consented in its last life;
        # the store, where each change is claimed first, knows.
        if not self._feed.has_listed(Kind.LEADERSHIP):
            return TermAnswer(is_open=False)
        runtime = self._services.get(question.service)
        ended = 0 if runtime is None else runtime.belief.ended_term
        return TermAnswer(is_open=ended < question.term)

    async def _tell_proof(self, question: AskProof) -> Message:
        runtime = self._services.get(question.service)
        if runtime is None:
            return ProofAnswer(-1)
        return ProofAnswer(await runtime.tell_proof(question.term))

    async def _end_term(self, question: EndTerm) -> Message:
        runtime = self._services.get(question.service)
        if runtime is not None:
            await runtime.close_term(question.term, question.may_finish)
        return TermEnded(question.service, question.term)


def _has_answered_as_primary(
    runtime: ServiceRuntime,
    handle: ServerHandle,
    since: float,
) -> bool:
    is_primary = runtime.belief.primary == handle.id
    return is_primary and handle.has_answered(since)


_Reply = Callable[[Answerer, Any], Awaitable[Message]]
_Replies = MappingProxyType[type[Message], _Reply]
_REPLIES: Final[_Replies] = MappingProxyType(
    {
        Heartbeat: Answerer._send_back,
        AskProof: Answerer._tell_proof,
        AskServer: Answerer._tell_server,
        AskTerm: Answerer._tell_term,
        EndTerm: Answerer._end_term,
    },
)
