"""Streams to peers, and requests to other proxies."""

from random import Random
from typing import Final

import curio

from deckdrum.fleet.base import Message
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.detours import Dial
from deckdrum.fleet.membership import Membership
from deckdrum.fleet.messages import (
    AskConfiguration,
    AskProbe,
    ConfigurationAnswer,
    ProbeAnswer,
)
from deckdrum.utils import Address, dial

#: Longest wait for a connection to a peer.
DIAL_TIMEOUT_S: Final = 0.3
#: Longest wait for a peer's answer.
ASK_TIMEOUT_S: Final = 0.7
#: Peers asked whether they reach a database that this proxy does not.
MAX_PROBE_PEERS: Final = 2
#: Idle streams kept per peer.
_MAX_IDLE_STREAMS: Final = 8


class StreamPool:
    """Pool of idle streams to peers.

    Parameters
    ----------
    dial_peer : callable
        Opens a connection to an address within a timeout in seconds.
    """

    def __init__(self, dial_peer: Dial = dial) -> None:
        self._dial = dial_peer
        self._idle: dict[Address, list[StreamChannel]] = {}

    async def open(self, address: Address) -> StreamChannel:
        """Return an idle stream to a peer, or open a new one.

        Raises
        ------
        ConnectionError
            If the peer cannot be reached.
        """
        idle = self._idle.get(address, [])
        while idle:
            channel = idle.pop()
            if channel.is_usable:
                return channel
            await channel.close()
        return StreamChannel(await self._dial(address, DIAL_TIMEOUT_S))

    async def put_back(self, address: Address, channel: StreamChannel) -> None:
        """Put an idle stream back, or close it if the pool is full."""
        idle = self._idle.setdefault(address, [])
        if len(idle) < _MAX_IDLE_STREAMS and channel.is_usable:
            idle.append(channel)
        else:
            await channel.close()

    async def exchange(self, address: Address, request: Message) -> Message:
        """Send a request on a stream of its own and return the answer.

        Raises
        ------
        ConnectionError
            If the peer cannot be reached or does not answer.
        """
        channel = await self.open(address)
        answer = await channel.ask(request)
        await self.put_back(address, channel)
        return answer

    async def close(self) -> None:
        """Close the idle streams."""
        for idle in self._idle.values():
            for channel in idle:
                await channel.close()
        self._idle.clear()


class ProxyPeers:
    """Pools streams to other proxies and sends requests over them.

    Parameters
    ----------
    membership : Membership
        Members of the fleet.
    randomness : random.Random
        Selects the proxies to ask.
    """

    def __init__(self, membership: Membership, randomness: Random) -> None:
        self._membership = membership
        self._randomness = randomness
        #: Streams for callers' batches, in a pool of their own because a keeper
        #: does not answer other requests on a stream that served a channel.
        self.channels = StreamPool()
        self._request_streams = StreamPool()
        #: Number of requests that were not sent on behalf of callers.
        self.control_messages = 0

    async def close(self) -> None:
        """Close the idle streams."""
        await self.channels.close()
        await self._request_streams.close()

    async def send_request(
        self, address: Address, request: Message
    ) -> Message | None:
        """Return a peer's answer, or None if it does not answer in time."""
        self.control_messages += 1
        try:
            async with curio.timeout_after(ASK_TIMEOUT_S):
                return await self._request_streams.exchange(address, request)
        except (ConnectionError, curio.TaskTimeout):
            return None

    async def ask_reachability(
        self, service: str, database: str
    ) -> bool | None:
        """Ask some proxies of other data centres whether they reach a database.

        Returns True if any of them does, and None if none answered.
        """
        others = self._membership.list_remote_proxies()
        asked = self._randomness.sample(
            others, min(MAX_PROBE_PEERS, len(others))
        )
        request = AskProbe(service, database)
        answers: list[bool] = []
        async with curio.TaskGroup() as tasks:
            for instance in asked:
                await tasks.spawn(self.send_request, instance.endpoint, request)
            async for task in tasks:
                if isinstance(task.result, ProbeAnswer):
                    answers.append(task.result.reached)
        return any(answers) if answers else None

    async def fetch_configuration(
        self,
        address: Address,
        number: int,
    ) -> ConfigurationAnswer | None:
        """Return a peer's configuration if it is newer than `number`."""
        answer = await self.send_request(address, AskConfiguration(number))
        return answer if isinstance(answer, ConfigurationAnswer) else None
