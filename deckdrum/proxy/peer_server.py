"""The port at which other proxies knock."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

import curio

from deckdrum.callers.host import CancelKey
from deckdrum.databases.watch import STATE_PROBE_TIMEOUT_S, Watcher
from deckdrum.fleet.base import Message
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.messages import (
    AskConfiguration,
    AskProbe,
    CancelCaller,
    CancelChannel,
    ConfigurationAnswer,
    Heartbeat,
    MessageError,
    OpenChannel,
    ProbeAnswer,
)
from deckdrum.keepers.core import MAJORITY_LOST_AFTER_S
from deckdrum.utils import Address, Listener, Stream

if TYPE_CHECKING:
    from deckdrum.proxy.core import Proxy

#: Age up to which a watcher's last answer serves a peer, in seconds.
_MAX_SAMPLE_AGE_S: Final = 0.3


class PeerServer:
    """Answers other proxies.

    Parameters
    ----------
    proxy : Proxy
        This proxy.
    """

    def __init__(self, proxy: 'Proxy') -> None:
        self._proxy = proxy
        self._listener = Listener(
            Address.parse(proxy.settings.peer_listen),
            self._serve,
        )

    @property
    def address(self) -> Address:
        """Where the proxy listens for peers."""
        return self._listener.address

    async def start(self) -> None:
        """Begin to listen."""
        await self._listener.start()

    async def close(self) -> None:
        """Stop to listen."""
        await self._listener.close()

    async def answer_probe(self, question: AskProbe) -> Message:
        """Say whether this proxy reaches a database, and its group.

        A proxy that is cut off together with a primary reaches it, but sees
        no majority: its word must not keep the others from a promotion.
        """
        reached = await self._probe(question.service, question.database)
        keeper = self._proxy.keeper_manager.keepers.get(question.service)
        if keeper is not None and reached:
            now = await curio.clock()
            reached = keeper.watch.can_reach_majority(
                now, MAJORITY_LOST_AFTER_S
            )
        return ProbeAnswer(reached)

    async def answer_configuration(self, question: AskConfiguration) -> Message:
        """Give the configuration and records that this proxy knows."""
        view = self._proxy.view
        records = [
            (held.version, held.record.encode())
            for held in view.records.values()
        ]
        if view.configuration is None or view.number <= question.number:
            return ConfigurationAnswer(0, b'', records)
        body = view.configuration.encode()
        return ConfigurationAnswer(view.number, body, records)

    async def answer_heartbeat(self, message: Heartbeat) -> Message:
        """Show that this proxy runs."""
        return message

    async def cancel_channel(self, message: CancelChannel) -> Message:
        """Cancel what runs on a channel."""
        await self._proxy.keeper_manager.cancel(message.channel)
        return message

    async def cancel_caller(self, message: CancelCaller) -> Message:
        """Cancel the request of one of this proxy's callers."""
        key = CancelKey(message.process, message.secret)
        await self._proxy.canceller.cancel_own_caller(key)
        return message

    async def _serve(self, stream: Stream) -> None:
        channel = StreamChannel(stream)
        try:
            await self._serve_channel(channel)
        except MessageError:
            self._proxy.metrics.count('peer.bad_input')

    async def _serve_channel(self, channel: StreamChannel) -> None:
        while True:
            message = await channel.receive()
            if isinstance(message, OpenChannel):
                await self._proxy.keeper_manager.serve(channel, message)
                return
            answer = _ANSWERS.get(type(message))
            if answer is None:
                raise MessageError(f'{type(message).__name__} is no question')
            await channel.send(await answer(self, message))

    async def _probe(self, service: str, name: str) -> bool:
        watcher = self._find_watcher(service, name)
        if watcher is not None and watcher.sample is not None:
            now = await curio.clock()
            if now - watcher.sample.started_at <= _MAX_SAMPLE_AGE_S:
                return True
        database = self._proxy.find_database(service, name)
        if database is None:
            return False
        visitor = Watcher(database)
        async with curio.ignore_after(STATE_PROBE_TIMEOUT_S):
            try:
                return await visitor.probe()
            finally:
                await visitor.close()
        return False

    def _find_watcher(self, service: str, name: str) -> Watcher | None:
        keeper = self._proxy.keeper_manager.keepers.get(service)
        return None if keeper is None else keeper.watch.watchers.get(name)


_ANSWERS: Final[Mapping[Any, Any]] = MappingProxyType(
    {
        AskProbe: PeerServer.answer_probe,
        Heartbeat: PeerServer.answer_heartbeat,
        AskConfiguration: PeerServer.answer_configuration,
        CancelChannel: PeerServer.cancel_channel,
        CancelCaller: PeerServer.cancel_caller,
    }
)
