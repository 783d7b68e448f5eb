"""Refusals, error codes and exceptions."""

from deckdrum.outcomes.codes import CODES, Code
from deckdrum.outcomes.errors import DeckdrumError
from deckdrum.outcomes.refusals import Fate, Refusal, refuse

__all__ = ['CODES', 'Code', 'DeckdrumError', 'Fate', 'Refusal', 'refuse']
