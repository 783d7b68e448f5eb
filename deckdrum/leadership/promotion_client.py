"""Interface of the platform call that promotes a server."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum


class PromotionOutcome(StrEnum):
    """Result of a promotion request."""

    ACCEPTED = 'accepted'
    #: The server is not running, or the platform has seen a later token.
    REFUSED = 'refused'
    #: The platform did nothing; the request may be retried.
    NOT_ATTEMPTED = 'turned away'
    #: No answer: the promotion may have been carried out.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class PromotionRequest:
    """A request to promote one server.

    Attributes
    ----------
    service : str
        The database group.
    server : str
        Id of the server to promote.
    requested_by : str
        Name of the requesting node.
    fencing_token : int
        Fencing token of the claim; the platform refuses tokens lower than the
        highest that it has seen.
    send_before : float
        End of the claim's lifetime, in kernel seconds: the request is not sent
        later, even if connecting took long or the process was stopped.
    """

    service: str
    server: str
    requested_by: str
    fencing_token: int
    send_before: float


class PromotionClient(ABC):
    """Sends promotion requests to the platform."""

    @abstractmethod
    async def promote(
        self,
        request: PromotionRequest,
        timeout: float,
    ) -> PromotionOutcome:
        """Request a promotion and wait up to `timeout` seconds for the result.

        A request that was not sent before its `send_before` has the outcome
        `PromotionOutcome.NOT_ATTEMPTED`.  A timeout resets the connection, so
        the request cannot arrive later.  A platform that had received it, but
        reads it late, may still carry it out.
        """
