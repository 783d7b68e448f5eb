"""One node: services, peers, changes of primary, stops."""

from deckdrum.fleet.nodes import NodeSettings
from deckdrum.node.core import Node

__all__ = ['Node', 'NodeSettings']
