"""Streams to other proxies."""

from random import Random
from typing import Final

import curio

from deckdrum.fleet.base import Message
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.membership import Membership
from deckdrum.fleet.messages import (
    AskConfiguration,
    AskProbe,
    ConfigurationAnswer,
    ProbeAnswer,
)
from deckdrum.utils import Address, dial

#: Longest wait for a connection to a peer, in seconds.
DIAL_LIMIT: Final = 0.3
#: Longest wait for a peer's answer, in seconds.
ASK_LIMIT: Final = 0.7
#: Peers asked for a second opinion.
MAX_PROBE_PEERS: Final = 2
#: Idle streams kept for each peer.
_IDLE_STREAMS: Final = 8


class StreamPool:
    """Streams to peers on which nothing is under way."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[StreamChannel]] = {}

    async def open(self, address: Address) -> StreamChannel:
        """Return a stream to a peer, kept or new.

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
        return StreamChannel(await dial(address, DIAL_LIMIT))

    async def keep(self, address: Address, channel: StreamChannel) -> None:
        """Keep a stream on which nothing is under way."""
        idle = self._idle.setdefault(address, [])
        if len(idle) < _IDLE_STREAMS and channel.is_usable:
            idle.append(channel)
        else:
            await channel.close()

    async def exchange(self, address: Address, question: Message) -> Message:
        """Ask a peer on a stream of its own and return the answer.

        Raises
        ------
        ConnectionError
            If the peer cannot be reached or gives no answer.
        """
        channel = await self.open(address)
        answer = await channel.ask(question)
        await self.keep(address, channel)
        return answer

    async def close(self) -> None:
        """Close the kept streams."""
        for idle in self._idle.values():
            for channel in idle:
                await channel.close()
        self._idle.clear()


class ProxyPeers:
    """Opens and keeps streams to other proxies.

    Parameters
    ----------
    membership : Membership
        Who is in the fleet.
    randomness : random.Random
        Chooses whom to ask.
    """

    def __init__(self, membership: Membership, randomness: Random) -> None:
        self._membership = membership
        self._randomness = randomness
        #: Streams for callers' batches.  They have a pool of their own: a
        #: keeper that serves a channel answers no questions on it.
        self.channels = StreamPool()
        self._questions = StreamPool()
        #: Messages sent on behalf of control, not of callers.
        self.control_messages = 0

    async def close(self) -> None:
        """Close the kept streams."""
        await self.channels.close()
        await self._questions.close()

    async def ask(self, address: Address, question: Message) -> Message | None:
        """Return a peer's answer, or None if none came."""
        self.control_messages += 1
        try:
            async with curio.timeout_after(ASK_LIMIT):
                return await self._questions.exchange(address, question)
        except (ConnectionError, curio.TaskTimeout):
            return None

    async def ask_reachability(
        self, service: str, database: str
    ) -> bool | None:
        """Ask proxies of other data centres whether they reach a database.

        Returns
        -------
        bool or None
            True if any of them does, None if none answered.
        """
        others = self._membership.list_remote_proxies()
        chosen = self._randomness.sample(
            others, min(MAX_PROBE_PEERS, len(others))
        )
        question = AskProbe(service, database)
        opinions: list[bool] = []
        async with curio.TaskGroup() as tasks:
            for instance in chosen:
                await tasks.spawn(self.ask, instance.endpoint, question)
            async for task in tasks:
                if isinstance(task.result, ProbeAnswer):
                    opinions.append(task.result.reached)
        return any(opinions) if opinions else None

    async def ask_configuration(
        self,
        address: Address,
        number: int,
    ) -> ConfigurationAnswer | None:
        """Return a peer's configuration if it is newer than `number`."""
        answer = await self.ask(address, AskConfiguration(number))
        return answer if isinstance(answer, ConfigurationAnswer) else None
