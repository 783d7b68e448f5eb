"""What a caller has seen, and the token that carries it between proxies."""

from deckdrum.sessions.position import Position
from deckdrum.sessions.token import BadTokenError, KeyRing, Token

__all__ = ['BadTokenError', 'KeyRing', 'Position', 'Token']
