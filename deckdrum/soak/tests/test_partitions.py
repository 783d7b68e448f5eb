"""Blocks of links reach the processes of the nodes that they concern."""

from pathlib import Path

import msgspec

from deckdrum.soak.partitions import Block, Partitions, build_peer_blocks
from deckdrum.soak.processes import NodeProcess
from deckdrum.utils import Address

_UNUSED_ADDRESS = Address('127.0.0.1', 9)


def build_nodes(folder: Path, count: int) -> list[NodeProcess]:
    """Return nodes that are not started."""
    return [
        NodeProcess(number, 'ba-hall', _UNUSED_ADDRESS, _UNUSED_ADDRESS, folder)
        for number in range(count)
    ]


def read_blocked(folder: Path, node: NodeProcess) -> dict[str, list[str]]:
    """Return the blocked directions of a node's links, by address."""
    path = folder / f'{node.name}.links.json'
    return msgspec.json.decode(path.read_bytes(), type=dict[str, list[str]])


def test_one_way_cut_blocks_both_links_in_one_direction(tmp_path: Path) -> None:
    """Nodes connect to each other, so a cut concerns two connections."""
    source, target, other = build_nodes(tmp_path, 3)
    partitions = Partitions()
    for node in (source, target, other):
        partitions.add_node(node)
    partitions.add(build_peer_blocks(source, target, is_one_way=True))
    assert read_blocked(tmp_path, source) == {str(target.peer_address): ['to']}
    assert read_blocked(tmp_path, target) == {
        str(source.peer_address): ['from']
    }
    assert not read_blocked(tmp_path, other)


def test_link_stays_blocked_until_all_overlapping_cuts_end(
    tmp_path: Path,
) -> None:
    (node,) = build_nodes(tmp_path, 1)
    partitions = Partitions()
    partitions.add_node(node)
    block = Block(node.name, _UNUSED_ADDRESS)
    partitions.add([block, block])
    partitions.remove([block])
    assert read_blocked(tmp_path, node) == {
        str(_UNUSED_ADDRESS): ['from', 'to']
    }
    partitions.remove([block])
    assert not read_blocked(tmp_path, node)
