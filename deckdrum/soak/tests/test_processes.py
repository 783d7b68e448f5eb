"""Ends of node processes that nobody asked for are noted."""

import signal
from pathlib import Path

from deckdrum.soak.processes import NodeProcess
from deckdrum.utils import Address

_NOWHERE = Address('127.0.0.1', 9)


def build_node(folder: Path) -> NodeProcess:
    """Return a node that reaches neither store nor databases."""
    return NodeProcess(9, 'ba-hall', _NOWHERE, _NOWHERE, folder)


def test_asked_end_is_not_strange(tmp_path: Path) -> None:
    node = build_node(tmp_path)
    node.start()
    node.kill()
    node.note_exit()
    assert not node.strange_exits


def test_crash_is_strange(tmp_path: Path) -> None:
    node = build_node(tmp_path)
    node.start()
    node.send_signal(signal.SIGABRT)
    node.wait()
    node.note_exit()
    assert node.strange_exits == [-signal.SIGABRT]
