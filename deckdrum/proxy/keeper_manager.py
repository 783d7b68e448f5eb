"""The keepers that run on one proxy."""

from typing import Final

import curio

from deckdrum.configuration import Document, Service
from deckdrum.fleet.base import Message
from deckdrum.fleet.channels import Channel
from deckdrum.fleet.membership import Membership, rank_keepers
from deckdrum.fleet.messages import (
    BatchRefused,
    OpenChannel,
)
from deckdrum.keepers.core import Keeper, KeeperContext
from deckdrum.outcomes import Code, refuse

#: Proxies that run a keeper for each service: one active and one standby.
_PROXIES_PER_SERVICE: Final = 2
#: Time after which a keeper that nobody needs is retired.
_UNUSED_KEEPER_LIFETIME_S: Final = 10.0


class KeeperManager:
    """Starts, updates and closes the keepers of one proxy.

    Parameters
    ----------
    context : Surroundings
        What the proxy provides to its keepers.
    membership : Membership
        Members of the fleet.
    """

    def __init__(self, context: KeeperContext, membership: Membership) -> None:
        self.keepers: dict[str, Keeper] = {}
        self._context = context
        self._membership = membership
        self._last_needed_at: dict[str, float] = {}
        self._retired: list[Keeper] = []
        self._start_lock = curio.Lock()

    @property
    def pinned(self) -> int:
        """Number of channels with a pinned database connection."""
        return sum(each.pinned for each in self.keepers.values())

    def start_draining(self) -> None:
        """Refuse new work; open transactions continue."""
        for keeper in self.keepers.values():
            keeper.is_draining = True

    async def close(self) -> None:
        """Close all keepers."""
        for keeper in (*self.keepers.values(), *self._retired):
            await keeper.close()
        self.keepers.clear()
        self._retired.clear()

    async def update_keepers(self, document: Document) -> None:
        """Start the keepers that this proxy should run; retire the others."""
        now = await curio.clock()
        for service in document.services:
            if self._should_run_keeper(service.name):
                await self._get_or_start(service, document, now)
        for name, keeper in list(self.keepers.items()):
            keeper.router.leaving = self._membership.leaving_databases
            keeper.set_standby(not self._is_preferred_keeper(name))
            await self._reconfigure_or_retire(name, keeper, document, now)

    async def serve(self, channel: Channel, opened: OpenChannel) -> None:
        """Serve a channel until it is closed."""
        message: Message | None = opened
        try:
            while isinstance(message, OpenChannel):
                keeper = await self._find(message)
                if keeper is None:
                    await self._refuse(channel)
                    return
                message = await keeper.serve(channel, message)
        except ConnectionError:
            return
        finally:
            await channel.close()

    async def cancel(self, channel: str) -> None:
        """Cancel the batch that runs on a channel."""
        for keeper in self.keepers.values():
            if await keeper.cancel(channel):
                return

    async def _find(self, opened: OpenChannel) -> Keeper | None:
        """Return the keeper of a service; start it if necessary.

        The requesting proxy chose this one by its own view of the membership.
        Two proxies may safely run a keeper of the same service at once.
        """
        now = await curio.clock()
        self._last_needed_at[opened.service] = now
        keeper = self.keepers.get(opened.service)
        if keeper is not None:
            return keeper
        document = self._context.view.document
        service = document.find_service(opened.service) if document else None
        if document is None or service is None or self._membership.is_leaving:
            return None
        return await self._get_or_start(service, document, now)

    async def _get_or_start(
        self,
        service: Service,
        document: Document,
        now: float,
    ) -> Keeper:
        async with self._start_lock:
            self._last_needed_at[service.name] = now
            keeper = self.keepers.get(service.name)
            if keeper is None:
                keeper = Keeper(service, document, self._context)
                keeper.is_draining = self._membership.is_leaving
                self.keepers[service.name] = keeper
                await keeper.start()
        return keeper

    async def _reconfigure_or_retire(
        self,
        name: str,
        keeper: Keeper,
        document: Document,
        now: float,
    ) -> None:
        service = document.find_service(name)
        is_needed = (
            now - self._last_needed_at.get(name, 0) < _UNUSED_KEEPER_LIFETIME_S
        )
        if service is None or not (is_needed or keeper.sessions):
            await self._retire(name, keeper)
        elif not await keeper.reconfigure(service, document):
            await self._retire(name, keeper)
        await self._close_retired()

    async def _retire(self, name: str, keeper: Keeper) -> None:
        """Stop using a keeper; its open transactions continue."""
        self.keepers.pop(name, None)
        keeper.is_draining = True
        self._retired.append(keeper)

    async def _close_retired(self) -> None:
        for keeper in list(self._retired):
            if not keeper.pinned:
                self._retired.remove(keeper)
                await keeper.close()

    async def _refuse(self, channel: Channel) -> None:
        await channel.receive()
        refusal = refuse(Code.NO_KEEPER, 'this proxy keeps no such service')
        await channel.send(BatchRefused(refusal.code.value, refusal.text))

    def _is_preferred_keeper(self, service: str) -> bool:
        """Return whether this proxy ranks first among the service's keepers."""
        ranked = rank_keepers(service, self._membership.proxies)
        return ranked[0] == self._membership.own.name

    def _should_run_keeper(self, service: str) -> bool:
        proxies = self._membership.proxies
        ranked = rank_keepers(service, proxies)[:_PROXIES_PER_SERVICE]
        is_leaving = self._membership.is_leaving
        return self._membership.own.name in ranked and not is_leaving
