"""What a statement does, as far as routing must know."""

from deckdrum.statements.classification import (
    Classifier,
    Effect,
    Statement,
)

__all__ = ['Classifier', 'Effect', 'Statement']
