"""Forwarding callers' statements to the nodes that hold connections."""

from deckdrum.forwarding.forwarder import Forwarder
from deckdrum.forwarding.handler import ForwardedStatementHandler

__all__ = ['ForwardedStatementHandler', 'Forwarder']
