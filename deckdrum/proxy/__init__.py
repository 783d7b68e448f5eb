"""One proxy process: entry for callers and keeper of services."""

from deckdrum.proxy.core import Proxy

__all__ = ['Proxy']
