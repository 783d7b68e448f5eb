"""Blocked links of nodes to each other, to servers and to the platform."""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from deckdrum.soak.processes import NodeProcess
from deckdrum.testing.blocked_links import BOTH_DIRECTIONS, Direction
from deckdrum.utils import Address


@dataclass(frozen=True, slots=True)
class Block:
    """Blocked directions of the link of a node to an address."""

    node: str
    address: Address
    directions: Collection[Direction] = BOTH_DIRECTIONS


def build_peer_blocks(
    source: NodeProcess,
    target: NodeProcess,
    *,
    is_one_way: bool,
) -> tuple[Block, Block]:
    """Return the blocks of the links between two nodes.

    Both nodes connect to each other, so there are two links.  If `is_one_way`,
    only traffic from `source` to `target` is blocked.
    """
    to_target = {Direction.TO} if is_one_way else BOTH_DIRECTIONS
    from_source = {Direction.FROM} if is_one_way else BOTH_DIRECTIONS
    return (
        Block(source.name, target.peer_address, to_target),
        Block(target.name, source.peer_address, from_source),
    )


def build_refusals(
    source: NodeProcess, target: NodeProcess
) -> tuple[Block, Block]:
    """Return the blocks of two nodes that refuse each other's connections."""
    refused = {Direction.REFUSED}
    return (
        Block(source.name, target.peer_address, refused),
        Block(target.name, source.peer_address, refused),
    )


class Partitions:
    """The blocked links of all nodes.

    Faults overlap, so a link is open once as many blocks of it have been
    removed as were added.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, NodeProcess] = {}
        self._counts: Counter[tuple[str, Address, Direction]] = Counter()

    def add_node(self, node: NodeProcess) -> None:
        """Manage the links of a node."""
        self._nodes[node.name] = node

    def add(self, blocks: Iterable[Block]) -> None:
        """Block links."""
        self._change(blocks, 1)

    def remove(self, blocks: Iterable[Block]) -> None:
        """Remove blocks that were added before."""
        self._change(blocks, -1)

    def _change(self, blocks: Iterable[Block], change: int) -> None:
        changed_nodes = set()
        for block in blocks:
            changed_nodes.add(block.node)
            for direction in block.directions:
                self._counts[block.node, block.address, direction] += change
        for name in changed_nodes:
            self._nodes[name].write_blocked_links(self._list_blocked(name))

    def _list_blocked(self, node: str) -> dict[str, list[Direction]]:
        blocked: dict[str, list[Direction]] = {}
        for (name, address, direction), count in self._counts.items():
            if name == node and count > 0:
                blocked.setdefault(str(address), []).append(direction)
        return blocked
