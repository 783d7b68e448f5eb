"""The platform's call that promotes a database."""

from types import MappingProxyType
from typing import Final

import msgspec

from deckdrum.leadership.promotion_client import (
    PromotionClient,
    PromotionOutcome,
    PromotionRequest,
)
from deckdrum.utils import Address
from deckdrum.utils.http import HttpClient, Request

#: Longest wait for a connection, in seconds.
PROMOTION_CONNECT_TIMEOUT_S: Final = 0.4
_HOLDER_HEADER: Final = 'X-Deckdrum-Holder'
_FENCE_HEADER: Final = 'X-Deckdrum-Fence'
_OUTCOMES: Final = MappingProxyType(
    {
        200: PromotionOutcome.ACCEPTED,
        202: PromotionOutcome.ACCEPTED,
        # The database does not run, or the fence is too low.
        409: PromotionOutcome.REFUSED,
        404: PromotionOutcome.REFUSED,
        429: PromotionOutcome.NOT_ATTEMPTED,
        503: PromotionOutcome.NOT_ATTEMPTED,
    },
)


class PlatformPromotionClient(PromotionClient):
    """Promotes databases through the platform.

    Parameters
    ----------
    address : Address
        Where the platform takes such calls.
    """

    def __init__(self, address: Address) -> None:
        self._address = address

    async def promote(
        self,
        order: PromotionRequest,
        limit: float,
    ) -> PromotionOutcome:
        """Give an order over a connection of its own."""
        # An old connection could be dead, and would then lose the answer.
        client = HttpClient(self._address, PROMOTION_CONNECT_TIMEOUT_S)
        body = msgspec.json.encode(
            {'service': order.service, 'id': order.server},
        )
        headers = {
            'content-type': 'application/json',
            _HOLDER_HEADER: order.holder,
            _FENCE_HEADER: str(order.fence),
        }
        request = Request('POST', '/promote', {}, headers, body)
        try:
            reply = await client.call(request, limit)
        except ConnectionRefusedError:
            return PromotionOutcome.NOT_ATTEMPTED
        except ConnectionError:
            # It may have been done; the database's own state tells.
            return PromotionOutcome.UNKNOWN
        finally:
            await client.close()
        return _OUTCOMES.get(reply.status, PromotionOutcome.UNKNOWN)
