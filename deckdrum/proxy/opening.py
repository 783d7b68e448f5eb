"""Opening channels to the keepers of services."""

import itertools
from typing import Any, Final

import curio

from deckdrum.callers.host import OpenedChannel
from deckdrum.fleet.channels import LocalChannel, StreamChannel
from deckdrum.fleet.membership import Membership
from deckdrum.fleet.messages import (
    Heartbeat,
    OpenChannel,
)
from deckdrum.fleet.peers import ProxyPeers
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.proxy.keeper_manager import KeeperManager
from deckdrum.store import Instance
from deckdrum.utils.metrics import Metrics

#: Keepers tried before a request is refused.
_MAX_CANDIDATES: Final = 4


class ChannelOpener:
    """Finds the keeper of a service and opens a channel to it.

    Parameters
    ----------
    membership : Membership
        Who is in the fleet.
    keeping : Keeping
        The services that this proxy keeps itself.
    peers : Peers
        Streams to the others.
    metrics : Metrics
        For counts.
    """

    def __init__(
        self,
        membership: Membership,
        keeper_manager: KeeperManager,
        peers: ProxyPeers,
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._keeping = keeper_manager
        self._peers = peers
        self._metrics = metrics
        self._numbers = itertools.count(1)
        #: Heartbeats under way, by keeper.
        self._heartbeat_tasks: dict[str, Any] = {}

    async def open(self, service: str, group: str) -> OpenedChannel | Refusal:
        """Open a channel; nothing of a request has been sent yet.

        Returns
        -------
        OpenedChannel or Refusal
            ``NO_KEEPER`` if no candidate can be reached.
        """
        now = await curio.clock()
        own = self._membership.own.name
        number = f'{own}-{next(self._numbers)}'
        opening = OpenChannel(number, service, group)
        candidates = self._membership.list_keepers(service, now)
        for instance in candidates[:_MAX_CANDIDATES]:
            if instance.name == own:
                return await self._open_local(opening)
            opened = await self._open_remote(instance, opening)
            if opened is not None:
                return opened
            self._metrics.count('keeper.unreachable')
            self._membership.suspect(instance.name, now)
        return refuse(Code.NO_KEEPER, f'service {service}')

    async def keep(self, opened: OpenedChannel) -> None:
        """Take back a channel on which nothing is under way."""
        instance = self._membership.proxies.get(opened.keeper)
        channel = opened.channel
        if isinstance(channel, StreamChannel) and instance is not None:
            await self._peers.channels.keep(instance.endpoint, channel)
        else:
            await channel.close()

    async def is_running(self, keeper: str) -> bool:
        """Tell whether a keeper's process runs, by a heartbeat.

        A frozen process keeps its connections open and accepts new ones, so
        silence alone tells nothing.
        """
        if keeper == self._membership.own.name:
            return True
        beat = self._heartbeat_tasks.get(keeper)
        if beat is None or beat.terminated:
            # One heartbeat serves every caller that waits for this keeper.
            beat = await curio.spawn(self._send_heartbeat, keeper, daemon=True)
            self._heartbeat_tasks[keeper] = beat
        await beat.wait()
        return bool(beat.result)

    async def suspect(self, keeper: str) -> None:
        """Pass a keeper over for a while."""
        self._membership.suspect(keeper, await curio.clock())
        self._metrics.count('keeper.suspected')

    async def _send_heartbeat(self, keeper: str) -> bool:
        instance = self._membership.proxies.get(keeper)
        if instance is None:
            return False
        answer = await self._peers.ask(instance.endpoint, Heartbeat())
        return answer is not None

    async def _open_local(self, opening: OpenChannel) -> OpenedChannel:
        near, far = LocalChannel.open_pair()
        await curio.spawn(self._keeping.serve, far, opening, daemon=True)
        return OpenedChannel(near, opening.channel, self._membership.own.name)

    async def _open_remote(
        self,
        instance: Instance,
        opening: OpenChannel,
    ) -> OpenedChannel | None:
        try:
            channel = await self._peers.channels.open(instance.endpoint)
            await channel.send(opening)
        except ConnectionError:
            return None
        return OpenedChannel(channel, opening.channel, instance.name)
