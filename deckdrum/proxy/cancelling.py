"""Cancelling callers' requests, whichever proxy the request comes to."""

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
    """Passes cancel requests on.

    Parameters
    ----------
    membership : Membership
        Who is in the fleet.
    keeping : Keeping
        The services that this proxy keeps.
    peers : Peers
        Streams to the others.
    registry : CallerRegistry
        This proxy's callers.
    metrics : Metrics
        For counts.
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
        self._keeping = keeper_manager
        self._peers = peers
        self._registry = registry
        self._metrics = metrics

    async def cancel(self, key: CancelKey) -> None:
        """Cancel the request of the caller who holds `key`.

        The balancer may bring a cancel request to any proxy; the key tells
        which proxy made it.
        """
        tag = get_proxy_tag(key)
        if tag == compute_proxy_tag(self._membership.own.name):
            await self.cancel_own_caller(key)
            return
        for instance in self._membership.proxies.values():
            if compute_proxy_tag(instance.name) == tag:
                message = CancelCaller(key.process, key.secret)
                await self._peers.ask(instance.endpoint, message)

    async def cancel_own_caller(self, key: CancelKey) -> None:
        """Cancel the request of one of this proxy's callers."""
        caller = self._registry.find(key)
        if caller is None:
            self._metrics.count('cancel.wrong_key')
        else:
            self._metrics.count('cancel.passed_on')
            await caller.cancel()

    async def cancel_channel(self, opened: OpenedChannel) -> None:
        """Cancel what runs on a channel of this proxy."""
        if opened.keeper == self._membership.own.name:
            await self._keeping.cancel(opened.number)
            return
        instance = self._membership.proxies.get(opened.keeper)
        if instance is not None:
            cancel = CancelChannel(opened.number)
            await self._peers.ask(instance.endpoint, cancel)
