"""Getting the configuration from peers while the platform is out."""

from typing import Final

import curio
from msgspec import ValidationError

from deckdrum.fleet.membership import Membership
from deckdrum.fleet.messages import ConfigurationAnswer
from deckdrum.fleet.peers import ProxyPeers
from deckdrum.store.records import ConfigurationRecord, GroupRecord
from deckdrum.store.view import StoreView, VersionedRecord
from deckdrum.utils import Address

#: How often a peer is asked while the platform is out, in seconds.
FETCH_INTERVAL_S: Final = 1.0
#: Peers asked in one round.
_PEERS_PER_ROUND: Final = 2


class PeerConfigurationFetcher:
    """Asks peers for what the platform cannot tell.

    Parameters
    ----------
    view : StoreView
        What this proxy knows.
    membership : Membership
        Who is in the fleet.
    peers : Peers
        Streams to the others.
    """

    def __init__(
        self,
        view: StoreView,
        membership: Membership,
        peers: ProxyPeers,
    ) -> None:
        self._view = view
        self._membership = membership
        self._peers = peers
        self._first: tuple[Address, ...] = ()
        self._turn = 0

    def use_seed_peers(self, addresses: tuple[Address, ...]) -> None:
        """Name peers to ask before the platform has given a list."""
        self._first = addresses

    async def run(self) -> None:
        """Ask peers for ever, while the platform is out."""
        while True:
            await curio.sleep(FETCH_INTERVAL_S)
            if not self._view.is_reachable:
                await self.fetch_from_peers()

    async def fetch_from_peers(self) -> None:
        """Ask a few peers, in turn."""
        addresses = self._list_addresses()
        for _ in range(min(_PEERS_PER_ROUND, len(addresses))):
            self._turn += 1
            address = addresses[self._turn % len(addresses)]
            answer = await self._peers.ask_configuration(
                address,
                self._view.number,
            )
            if answer is not None:
                await self._adopt(answer)

    async def _adopt(self, answer: ConfigurationAnswer) -> None:
        try:
            if answer.number:
                await self._view.adopt_configuration(
                    ConfigurationRecord.decode(answer.body),
                )
            for version, body in answer.records:
                record = GroupRecord.decode(body)
                self._view.adopt_record(VersionedRecord(version, record))
        except ValidationError:
            return

    def _list_addresses(self) -> list[Address]:
        own = self._membership.own.name
        listed = [
            instance.endpoint
            for name, instance in self._membership.proxies.items()
            if name != own
        ]
        return listed or list(self._first)
