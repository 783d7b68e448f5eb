"""Fetching the configuration from peers while the platform is unreachable."""

from typing import Final

import curio
from msgspec import ValidationError

from deckdrum.fleet.membership import Membership
from deckdrum.fleet.messages import ConfigurationAnswer
from deckdrum.fleet.peers import ProxyPeers
from deckdrum.store.records import ConfigurationRecord, GroupRecord
from deckdrum.store.view import StoreView, VersionedRecord
from deckdrum.utils import Address

#: Interval of requests to peers while the platform is unreachable.
FETCH_INTERVAL_S: Final = 1.0
#: Peers that are queried in one round.
_PEERS_PER_ROUND: Final = 2


class PeerConfigurationFetcher:
    """Fetches configuration and group records from peers.

    Parameters
    ----------
    view : StoreView
        This proxy's copy of the store.
    membership : Membership
        Members of the fleet.
    peers : ProxyPeers
        Connections to other proxies.
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
        self._seed_peers: tuple[Address, ...] = ()
        self._peer_index = 0

    def use_seed_peers(self, addresses: tuple[Address, ...]) -> None:
        """Set the peers that are queried until the membership is known."""
        self._seed_peers = addresses

    async def run(self) -> None:
        """Query peers periodically while the platform is unreachable."""
        while True:
            await curio.sleep(FETCH_INTERVAL_S)
            if not self._view.is_reachable:
                await self.fetch_from_peers()

    async def fetch_from_peers(self) -> None:
        """Query the next few peers, in round-robin order."""
        addresses = self._list_addresses()
        for _ in range(min(_PEERS_PER_ROUND, len(addresses))):
            self._peer_index += 1
            address = addresses[self._peer_index % len(addresses)]
            answer = await self._peers.fetch_configuration(
                address,
                self._view.number,
            )
            if answer is not None:
                await self._apply(answer)

    async def _apply(self, answer: ConfigurationAnswer) -> None:
        try:
            if answer.number:
                await self._view.apply_configuration(
                    ConfigurationRecord.decode(answer.body),
                )
            for version, body in answer.records:
                record = GroupRecord.decode(body)
                self._view.apply_record(VersionedRecord(version, record))
        except ValidationError:
            return

    def _list_addresses(self) -> list[Address]:
        own = self._membership.own.name
        listed = [
            instance.endpoint
            for name, instance in self._membership.proxies.items()
            if name != own
        ]
        return listed or list(self._seed_peers)
