"""Who leads a database group, until when that may be believed, and change."""

from deckdrum.leadership.promotion_client import (
    PromotionClient,
    PromotionOutcome,
)
from deckdrum.leadership.state import LeadershipState

__all__ = ['LeadershipState', 'PromotionClient', 'PromotionOutcome']
