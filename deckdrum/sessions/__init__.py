"""Log positions seen by a session, and the token that transfers them."""

from deckdrum.sessions.position import Position
from deckdrum.sessions.token import BadTokenError, KeyRing, Token

__all__ = ['BadTokenError', 'KeyRing', 'Position', 'Token']
