"""Handing callers' statements to the nodes that hold connections."""

from deckdrum.forwarding.receiving import ForwardedWork
from deckdrum.forwarding.sending import Forwarder

__all__ = ['ForwardedWork', 'Forwarder']
