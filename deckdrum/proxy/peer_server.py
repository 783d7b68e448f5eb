"""Server for requests from other proxies."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

import curio

from deckdrum.callers.host import CancelKey
from deckdrum.databases.monitor import STATE_PROBE_TIMEOUT_S, Watcher
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

#: Age up to which a watcher's last sample answers a peer's probe.
_MAX_SAMPLE_AGE_S: Final = 0.3


class PeerServer:
    """Answers requests from other proxies.

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
        """Address on which the proxy accepts peers."""
        return self._listener.address

    async def start(self) -> None:
        """Start listening."""
        await self._listener.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._listener.close()

    async def handle_probe(self, request: AskProbe) -> Message:
        """Report if this proxy reaches a database and, as keeper, a majority.

        A keeper that is partitioned together with the primary reaches it but no
        majority; its answer must not stop the other proxies from a promotion.
        """
        reached = await self._can_reach(request.service, request.database)
        keeper = self._proxy.keeper_manager.keepers.get(request.service)
        if keeper is not None and reached:
            now = await curio.clock()
            reached = keeper.watch.can_reach_majority(
                now, MAJORITY_LOST_AFTER_S
            )
        return ProbeAnswer(reached)

    async def handle_configuration(self, request: AskConfiguration) -> Message:
        """Return the configuration and the records that this proxy holds."""
        view = self._proxy.view
        records = [
            (versioned.version, versioned.record.encode())
            for versioned in view.records.values()
        ]
        if view.configuration is None or view.number <= request.number:
            return ConfigurationAnswer(0, b'', records)
        body = view.configuration.encode()
        return ConfigurationAnswer(view.number, body, records)

    async def handle_heartbeat(self, message: Heartbeat) -> Message:
        """Echo a heartbeat."""
        return message

    async def handle_cancel_channel(self, message: CancelChannel) -> Message:
        """Cancel the batch that runs on a channel."""
        await self._proxy.keeper_manager.cancel(message.channel)
        return message

    async def handle_cancel_caller(self, message: CancelCaller) -> Message:
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
            message_handler = _HANDLERS.get(type(message))
            if message_handler is None:
                raise MessageError(f'{type(message).__name__} is not a request')
            await channel.send(await message_handler(self, message))

    async def _can_reach(self, service: str, name: str) -> bool:
        watcher = self._find_watcher(service, name)
        if watcher is not None and watcher.sample is not None:
            now = await curio.clock()
            if now - watcher.sample.started_at <= _MAX_SAMPLE_AGE_S:
                return True
        database = self._proxy.find_database(service, name)
        if database is None:
            return False
        temporary_watcher = Watcher(database)
        async with curio.ignore_after(STATE_PROBE_TIMEOUT_S):
            try:
                return await temporary_watcher.probe()
            finally:
                await temporary_watcher.close()
        return False

    def _find_watcher(self, service: str, name: str) -> Watcher | None:
        keeper = self._proxy.keeper_manager.keepers.get(service)
        return None if keeper is None else keeper.watch.watchers.get(name)


_HANDLERS: Final[Mapping[Any, Any]] = MappingProxyType(
    {
        AskProbe: PeerServer.handle_probe,
        Heartbeat: PeerServer.handle_heartbeat,
        AskConfiguration: PeerServer.handle_configuration,
        CancelChannel: PeerServer.handle_cancel_channel,
        CancelCaller: PeerServer.handle_cancel_caller,
    }
)
