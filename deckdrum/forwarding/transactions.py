"""Transactions that a holder runs for callers of this node."""

from typing import Final

import curio

from deckdrum.control import Member
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.node_messages import ForwardAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.forwarding.encoding import decode_outcome, encode_forward_next
from deckdrum.operations import Request, Rollback
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving.host import Outcome
from deckdrum.serving.state import ForwardedTransaction, Statement

ROLLBACK_TIMEOUT_S: Final = 0.3


class RemoteTransaction(ForwardedTransaction):
    """A transaction that a holder runs for a caller of this node.

    Parameters
    ----------
    peers : NodePeers
        Reuses the stream after the transaction.
    holder : Member
        The node that runs it.
    channel : StreamChannel
        The stream to the holder.
    timeout : float
        Timeout of one statement, in seconds.
    """

    def __init__(
        self,
        peers: NodePeers,
        holder: Member,
        channel: StreamChannel,
        timeout: float,
    ) -> None:
        #: Whether the holder expects another statement.
        self.is_open = False
        self._peers = peers
        self._holder = holder
        self._channel: StreamChannel = channel
        self._timeout = timeout

    async def run(
        self,
        statement: Statement,
        *,
        may_have_committed: bool,
    ) -> Outcome:
        """Run a statement; a refusal ends the transaction."""
        message = encode_forward_next(statement.request, statement.prepared)
        try:
            async with curio.timeout_after(self._timeout):
                answer = await self._channel.ask(message)
        except (ConnectionError, curio.TaskTimeout) as error:
            return await self._fail(repr(error), may_have_committed)
        if not isinstance(answer, ForwardAnswer):
            return await self._fail(
                f'{type(answer).__name__} came', may_have_committed
            )
        if not answer.is_open:
            await self.end()
        return decode_outcome(answer)

    async def release(self) -> None:
        """Roll the transaction back if it is open."""
        if not self.is_open:
            return
        self.is_open = False
        message = encode_forward_next(Request('', Rollback()))
        try:
            async with curio.timeout_after(ROLLBACK_TIMEOUT_S):
                await self._channel.ask(message)
        except (ConnectionError, curio.TaskTimeout):
            # The failed request closed the stream, so the holder rolls back.
            return
        await self.end()

    async def end(self) -> None:
        """Return the stream to the pool."""
        self.is_open = False
        await self._peers.forward_streams.put_back(
            self._holder.endpoint, self._channel
        )

    async def _fail(self, reason: str, may_have_committed: bool) -> Refusal:
        self.is_open = False
        await self._channel.close()
        code = (
            Code.CONNECTION_LOST
            if may_have_committed
            else Code.TRANSACTION_LOST
        )
        return refuse(code, f'{self._holder.name}: {reason}')
