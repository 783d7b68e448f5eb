"""What became of a request: done, not run or unknown."""

from deckdrum.outcomes.codes import CODES, Code
from deckdrum.outcomes.core import Fate, Refusal, refuse
from deckdrum.outcomes.errors import DeckdrumError

__all__ = ['CODES', 'Code', 'DeckdrumError', 'Fate', 'Refusal', 'refuse']
