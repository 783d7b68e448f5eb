"""Naive read routing policies, as baselines for comparison."""

import itertools

from deckdrum.bench.deployment import Deployment
from deckdrum.fleet.messages import RunBatch
from deckdrum.keepers.access import Access
from deckdrum.keepers.core import Keeper
from deckdrum.keepers.routing import Reason, Route, Router
from deckdrum.outcomes import Refusal


class PrimaryRouter(Router):
    """Routes every read to the primary."""

    async def choose(
        self,
        batch: RunBatch,
        access: Access,
        timeout: float,
    ) -> Route | Refusal:
        """Return the route to the primary."""
        if access is Access.WRITE:
            return await super().choose(batch, access, timeout)
        return await self.choose_primary(Reason.NO_REPLICA, timeout)


class RotatingRouter(Router):
    """Routes reads to replicas round-robin, ignoring replication lag."""

    _turns = itertools.count()

    async def choose(
        self,
        batch: RunBatch,
        access: Access,
        timeout: float,
    ) -> Route | Refusal:
        """Return the route to the next replica in rotation."""
        if access is Access.WRITE:
            return await super().choose(batch, access, timeout)
        replicas = [name for name in self.pools if name != self.watch.primary]
        name = replicas[next(self._turns) % len(replicas)]
        return Route(self.pools[name], False, self.watch.term, Reason.REPLICA)


def install_router(deployment: Deployment, router_type: type[Router]) -> None:
    """Replace the router of every keeper in a deployment."""
    for proxy in deployment.proxies.values():
        for keeper in proxy.keeper_manager.keepers.values():
            keeper.router = _make_router(keeper, router_type)


def _make_router(keeper: Keeper, router_type: type[Router]) -> Router:
    return router_type(
        keeper.service,
        keeper.watch,
        keeper.pools,
        keeper.context.data_centre,
    )
