"""A node: its services, peers, failure detection and shutdown."""

from deckdrum.fleet.settings import NodeSettings
from deckdrum.node.core import Node

__all__ = ['Node', 'NodeSettings']
