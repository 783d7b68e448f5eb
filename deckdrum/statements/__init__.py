"""Classification of SQL statements for routing."""

from deckdrum.statements.classification import (
    Classifier,
    Effect,
    Statement,
)

__all__ = ['Classifier', 'Effect', 'Statement']
