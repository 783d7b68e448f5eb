"""The slots of all servers of one database group."""

from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import Final

from deckdrum.control import Member, ServiceDeclaration
from deckdrum.fleet.load_messages import AskSlots, SlotsAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.load.allocation import rank_holders
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.slot_leases import (
    SlotBorrower,
    SlotCoordinators,
    SlotLender,
    SlotTerms,
)
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters

_Gauge = Callable[[SlotBorrower], float]
#: Metrics of each server.
_GAUGES: Final[MappingProxyType[str, _Gauge]] = MappingProxyType(
    {
        'server_in_flight': lambda borrower: borrower.gate.in_flight,
        'server_waiting': lambda borrower: borrower.gate.waiting,
        'server_slots': lambda borrower: borrower.terms.slots,
        'server_part': lambda borrower: (
            borrower.terms.part if borrower.terms.is_bounded else 0
        ),
        'server_rejected': lambda borrower: borrower.gate.rejected.total(),
        'server_borrowed': lambda borrower: borrower.granted,
    }
)


class GroupSlots:
    """Bounds this node's statements in flight at each server of a group.

    It is active if the group has urgent routes, for the servers whose slots are
    known.  Otherwise nothing waits and no message is sent.

    Parameters
    ----------
    peers : NodePeers
        The other nodes.
    journal : Journal
        Log of the node.
    counters : Counters
        Metrics.
    """

    def __init__(
        self, peers: NodePeers, journal: Journal, counters: Counters
    ) -> None:
        self._journal = journal
        self._counters = counters
        self._coordinators = SlotCoordinators(peers, journal)
        self._borrowers: dict[str, SlotBorrower] = {}
        self._lenders: dict[str, SlotLender] = {}

    async def apply(
        self,
        declaration: ServiceDeclaration,
        own: str,
        holders: Mapping[str, Member],
        servers: Mapping[str, ServerHandle],
    ) -> None:
        """Apply the group's declaration, holders and servers.

        Leases of a server start over if its slots, its incarnation or the
        holders have changed.
        """
        self._coordinators.holders = holders
        for name in self._borrowers.keys() - servers.keys():
            await self._remove(declaration.name, name)
        for name, handle in servers.items():
            borrower = self._borrowers.get(name)
            if borrower is not None and borrower.gate is not handle.gate:
                await self._remove(declaration.name, name)
                borrower = None
            if borrower is None:
                borrower = self._add(declaration.name, handle)
            server = handle.server
            terms = SlotTerms()
            if declaration.has_urgent_routes and server.slots:
                ranked = rank_holders(declaration.name, name, holders)
                terms = SlotTerms(
                    server.slots, server.started_at, own, tuple(ranked)
                )
            if terms != borrower.terms:
                await borrower.apply(terms)
                await self._lenders[name].apply(terms)

    async def answer(self, request: AskSlots) -> SlotsAnswer:
        """Return the lease for another holder's request."""
        lender = self._lenders.get(request.server)
        if lender is None:
            return SlotsAnswer(0, 0)
        return await lender.answer(request)

    def _add(self, service: str, handle: ServerHandle) -> SlotBorrower:
        lender = SlotLender()
        borrower = SlotBorrower(
            service,
            handle.id,
            handle.gate,
            partial(self._ask, handle.id),
            self._journal,
        )
        self._lenders[handle.id] = lender
        self._borrowers[handle.id] = borrower
        for gauge, read in _GAUGES.items():
            gauges = self._counters.server_gauges[gauge]
            gauges[service, handle.id] = partial(read, borrower)
        return borrower

    async def _ask(self, server: str, request: AskSlots) -> SlotsAnswer | None:
        borrower = self._borrowers[server]
        lender = self._lenders[server]
        return await self._coordinators.ask(request, borrower.terms, lender)

    async def _remove(self, service: str, server: str) -> None:
        """Forget a server or an incarnation of it; nothing waits for it."""
        borrower = self._borrowers.pop(server)
        self._lenders.pop(server)
        await borrower.apply(SlotTerms())
        for gauge in _GAUGES:
            self._counters.server_gauges[gauge].pop((service, server))
