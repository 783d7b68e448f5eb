"""Leadership of database groups: current primary, proof of it, and failover."""

from deckdrum.leadership.promotion_client import (
    PromotionClient,
    PromotionOutcome,
)
from deckdrum.leadership.state import LeadershipState

__all__ = ['LeadershipState', 'PromotionClient', 'PromotionOutcome']
