"""Ends of node processes that nobody asked for are noted."""

import signal
import time
from pathlib import Path
from typing import Final

from deckdrum.soak.processes import NodeProcess
from deckdrum.utils import Address

_NOWHERE = Address('127.0.0.1', 9)
#: Pause between two looks at a process, in seconds.
_POLL: Final = 0.001


def build_node(folder: Path) -> NodeProcess:
    """Return a node that reaches neither store nor databases."""
    return NodeProcess(9, 'ba-hall', _NOWHERE, _NOWHERE, folder)


def test_asked_end_is_not_strange(tmp_path: Path) -> None:
    node = build_node(tmp_path)
    node.start()
    node.kill()
    node.record_exit()
    assert not node.unexpected_exits


def test_crash_is_strange(tmp_path: Path) -> None:
    node = build_node(tmp_path)
    node.start()
    node.send_signal(signal.SIGABRT)
    node.wait()
    node.record_exit()
    assert node.unexpected_exits == [-signal.SIGABRT]


def test_reload_during_the_start_does_not_end_a_node(tmp_path: Path) -> None:
    node = build_node(tmp_path)
    node.start()
    # As early as the program has a say.
    while node.is_running and not node.has_sighup_disposition():
        time.sleep(_POLL)
    for _ in range(3):
        node.reload()
        time.sleep(_POLL)
    is_running = node.is_running
    node.kill()
    node.record_exit()
    assert is_running
    assert not node.unexpected_exits
