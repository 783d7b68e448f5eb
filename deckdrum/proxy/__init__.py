"""A proxy process, which accepts callers and serves as keeper of services."""

from deckdrum.proxy.core import Proxy

__all__ = ['Proxy']
