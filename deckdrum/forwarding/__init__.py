"""Forwarding callers' statements to the nodes that hold connections."""

from deckdrum.forwarding.handler import ForwardedStatementHandler
from deckdrum.forwarding.sending import Forwarder

__all__ = ['ForwardedStatementHandler', 'Forwarder']
