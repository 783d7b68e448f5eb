"""Opening of channels to the keepers of services."""

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

#: Keepers that are tried before a request is refused.
_MAX_CANDIDATES: Final = 4


class ChannelOpener:
    """Finds the keeper of a service and opens a channel to it.

    Parameters
    ----------
    membership : Membership
        Members of the fleet.
    keeper_manager : KeeperManager
        The keepers that run on this proxy.
    peers : ProxyPeers
        Connections to other proxies.
    metrics : Metrics
        Metrics of this proxy.
    """

    def __init__(
        self,
        membership: Membership,
        keeper_manager: KeeperManager,
        peers: ProxyPeers,
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._keeper_manager = keeper_manager
        self._peers = peers
        self._metrics = metrics
        self._channel_numbers = itertools.count(1)
        #: The last heartbeat task of each keeper, by name.
        self._heartbeat_tasks: dict[str, Any] = {}

    async def open(self, service: str, group: str) -> OpenedChannel | Refusal:
        """Open a channel without sending a batch on it.

        Returns
        -------
        OpenedChannel or Refusal
            A ``NO_KEEPER`` refusal if all candidates are unreachable.
        """
        now = await curio.clock()
        own = self._membership.own.name
        channel_id = f'{own}-{next(self._channel_numbers)}'
        request = OpenChannel(channel_id, service, group)
        candidates = self._membership.list_keepers(service, now)
        for instance in candidates[:_MAX_CANDIDATES]:
            if instance.name == own:
                return await self._open_local(request)
            opened = await self._open_remote(instance, request)
            if opened is not None:
                return opened
            self._metrics.count('keeper.unreachable')
            self._membership.suspect(instance.name, now)
        return refuse(Code.NO_KEEPER, f'service {service}')

    async def release(self, opened: OpenedChannel) -> None:
        """Return an idle channel for reuse."""
        instance = self._membership.proxies.get(opened.keeper)
        channel = opened.channel
        if isinstance(channel, StreamChannel) and instance is not None:
            await self._peers.channels.put_back(instance.endpoint, channel)
        else:
            await channel.close()

    async def is_running(self, keeper: str) -> bool:
        """Return whether a keeper's process answers a heartbeat.

        The kernel keeps the connections of a frozen process open and accepts
        new ones, so an open connection does not show that the process runs.
        """
        if keeper == self._membership.own.name:
            return True
        heartbeat_task = self._heartbeat_tasks.get(keeper)
        if heartbeat_task is None or heartbeat_task.terminated:
            # Concurrent callers share one heartbeat to a keeper.
            heartbeat_task = await curio.spawn(
                self._send_heartbeat, keeper, daemon=True
            )
            self._heartbeat_tasks[keeper] = heartbeat_task
        await heartbeat_task.wait()
        return bool(heartbeat_task.result)

    async def suspect(self, keeper: str) -> None:
        """Mark a keeper as suspected, so that it is tried last for a while."""
        self._membership.suspect(keeper, await curio.clock())
        self._metrics.count('keeper.suspected')

    async def _send_heartbeat(self, keeper: str) -> bool:
        instance = self._membership.proxies.get(keeper)
        if instance is None:
            return False
        answer = await self._peers.send_request(instance.endpoint, Heartbeat())
        return answer is not None

    async def _open_local(self, request: OpenChannel) -> OpenedChannel:
        caller_end, keeper_end = LocalChannel.open_pair()
        await curio.spawn(
            self._keeper_manager.serve, keeper_end, request, daemon=True
        )
        return OpenedChannel(
            caller_end, request.channel, self._membership.own.name
        )

    async def _open_remote(
        self,
        instance: Instance,
        request: OpenChannel,
    ) -> OpenedChannel | None:
        try:
            channel = await self._peers.channels.open(instance.endpoint)
            await channel.send(request)
        except ConnectionError:
            return None
        return OpenedChannel(channel, request.channel, instance.name)
