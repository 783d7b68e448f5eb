"""The border to the platform's call that promotes a server."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum


class PromotionOutcome(StrEnum):
    """What the platform said to a promotion."""

    ACCEPTED = 'accepted'
    #: The server does not run, or a later holder was there.
    REFUSED = 'refused'
    #: Nothing was done; the call may be repeated.
    NOT_ATTEMPTED = 'turned away'
    #: No answer came: it may have been done.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class PromotionRequest:
    """One promotion.

    Attributes
    ----------
    service : str
        The database group.
    server : str
        Id of the server that shall lead.
    holder : str
        The node that gives the order.
    fence : int
        Revision of the claim; the platform refuses a lower one than it has
        seen.
    """

    service: str
    server: str
    holder: str
    fence: int


class PromotionClient(ABC):
    """Gives promotions to the platform."""

    @abstractmethod
    async def promote(
        self,
        order: PromotionRequest,
        limit: float,
    ) -> PromotionOutcome:
        """Give an order and wait up to `limit` seconds for the answer.

        After `limit` the connection is reset, so that bytes still on their
        way are dropped and the order cannot arrive later.
        """
