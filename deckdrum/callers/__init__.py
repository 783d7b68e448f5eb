"""Client-facing side of the proxy: connections, sessions and statements."""

from deckdrum.callers.connection import CallerConnection
from deckdrum.callers.host import CallerHost

__all__ = ['CallerConnection', 'CallerHost']
