"""Client of the platform's API call that promotes a server."""

from types import MappingProxyType
from typing import Final

import msgspec

from deckdrum.leadership.promotion_client import (
    PromotionClient,
    PromotionOutcome,
    PromotionRequest,
)
from deckdrum.utils import Address
from deckdrum.utils.http import HttpClient, Request, RequestNotSentError

PROMOTION_CONNECT_TIMEOUT_S: Final = 0.4
_HOLDER_HEADER: Final = 'X-Deckdrum-Holder'
_FENCE_HEADER: Final = 'X-Deckdrum-Fence'
_OUTCOMES: Final = MappingProxyType(
    {
        200: PromotionOutcome.ACCEPTED,
        202: PromotionOutcome.ACCEPTED,
        # The server is not running, or the fencing token is too low.
        409: PromotionOutcome.REFUSED,
        404: PromotionOutcome.REFUSED,
        429: PromotionOutcome.NOT_ATTEMPTED,
        503: PromotionOutcome.NOT_ATTEMPTED,
    },
)


class PlatformPromotionClient(PromotionClient):
    """Sends promotion requests to the platform over HTTP.

    Parameters
    ----------
    address : Address
        Address of the platform's API.
    """

    def __init__(self, address: Address) -> None:
        self._address = address

    async def promote(
        self,
        request: PromotionRequest,
        timeout: float,
    ) -> PromotionOutcome:
        """Send a promotion request over a new connection."""
        # A reused connection may be broken, which would lose the response.
        client = HttpClient(self._address, PROMOTION_CONNECT_TIMEOUT_S)
        body = msgspec.json.encode(
            {'service': request.service, 'id': request.server},
        )
        headers = {
            'content-type': 'application/json',
            _HOLDER_HEADER: request.requested_by,
            _FENCE_HEADER: str(request.fencing_token),
        }
        http_request = Request('POST', '/promote', {}, headers, body)
        try:
            reply = await client.call(
                http_request, timeout, request.send_before
            )
        except (ConnectionRefusedError, RequestNotSentError):
            return PromotionOutcome.NOT_ATTEMPTED
        except ConnectionError:
            # The server may have been promoted; its status will show it.
            return PromotionOutcome.UNKNOWN
        finally:
            await client.close()
        return _OUTCOMES.get(reply.status, PromotionOutcome.UNKNOWN)
