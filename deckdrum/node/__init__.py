"""One node: services, peers, changes of primary, stops."""

from deckdrum.node.core import Node, NodeSettings

__all__ = ['Node', 'NodeSettings']
