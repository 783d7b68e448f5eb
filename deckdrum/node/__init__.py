"""One node: services, peers, changes of primary, stops."""

from deckdrum.fleet.settings import NodeSettings
from deckdrum.node.core import Node

__all__ = ['Node', 'NodeSettings']
