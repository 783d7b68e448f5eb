"""Who leads a database group, until when that may be believed, and change."""

from deckdrum.leadership.belief import LeadershipBelief
from deckdrum.leadership.duty import PromotionDuty, PromotionOutcome

__all__ = ['LeadershipBelief', 'PromotionDuty', 'PromotionOutcome']
