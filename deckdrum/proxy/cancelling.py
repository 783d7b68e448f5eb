"""Routing of cancel requests to the proxy that serves the caller."""

from deckdrum.callers.host import CancelKey, OpenedChannel
from deckdrum.fleet.membership import Membership
from deckdrum.fleet.messages import (
    CancelCaller,
    CancelChannel,
)
from deckdrum.fleet.peers import ProxyPeers
from deckdrum.proxy.keeper_manager import KeeperManager
from deckdrum.proxy.registry import (
    CallerRegistry,
    compute_proxy_tag,
    get_proxy_tag,
)
from deckdrum.utils.metrics import Metrics


class Canceller:
    """Forwards cancel requests to the responsible proxy.

    Parameters
    ----------
    membership : Membership
        Members of the fleet.
    keeper_manager : KeeperManager
        The keepers that run on this proxy.
    peers : ProxyPeers
        Connections to other proxies.
    registry : CallerRegistry
        Callers of this proxy.
    metrics : Metrics
        Metrics of this proxy.
    """

    def __init__(
        self,
        membership: Membership,
        keeper_manager: KeeperManager,
        peers: ProxyPeers,
        registry: CallerRegistry,
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._keeper_manager = keeper_manager
        self._peers = peers
        self._registry = registry
        self._metrics = metrics

    async def cancel(self, key: CancelKey) -> None:
        """Cancel the request of the caller with `key`.

        A load balancer may send a cancel request to any proxy; the key
        identifies the proxy that issued it.
        """
        tag = get_proxy_tag(key)
        if tag == compute_proxy_tag(self._membership.own.name):
            await self.cancel_own_caller(key)
            return
        for instance in self._membership.proxies.values():
            if compute_proxy_tag(instance.name) == tag:
                message = CancelCaller(key.process, key.secret)
                await self._peers.send_request(instance.endpoint, message)

    async def cancel_own_caller(self, key: CancelKey) -> None:
        """Cancel the request of one of this proxy's callers."""
        caller = self._registry.find(key)
        if caller is None:
            self._metrics.count('cancel.wrong_key')
        else:
            self._metrics.count('cancel.passed_on')
            await caller.cancel()

    async def cancel_channel(self, opened: OpenedChannel) -> None:
        """Cancel the batch that runs on a channel opened by this proxy."""
        if opened.keeper == self._membership.own.name:
            await self._keeper_manager.cancel(opened.channel_id)
            return
        instance = self._membership.proxies.get(opened.keeper)
        if instance is not None:
            cancel = CancelChannel(opened.channel_id)
            await self._peers.send_request(instance.endpoint, cancel)
