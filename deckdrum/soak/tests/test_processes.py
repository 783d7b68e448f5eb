"""Unexpected exits of node processes are recorded."""

import signal
import time
from pathlib import Path
from typing import Final

from deckdrum.soak.processes import NodeProcess
from deckdrum.utils import Address

_UNUSED_ADDRESS = Address('127.0.0.1', 9)
_POLL_INTERVAL_S: Final = 0.001


def build_node(folder: Path) -> NodeProcess:
    """Return a node that can reach neither store nor databases."""
    return NodeProcess(9, 'ba-hall', _UNUSED_ADDRESS, _UNUSED_ADDRESS, folder)


def test_requested_exit_is_not_recorded(tmp_path: Path) -> None:
    node = build_node(tmp_path)
    node.start()
    node.kill()
    node.record_exit()
    assert not node.unexpected_exits


def test_crash_is_recorded(tmp_path: Path) -> None:
    node = build_node(tmp_path)
    node.start()
    node.send_signal(signal.SIGABRT)
    node.wait()
    node.record_exit()
    assert node.unexpected_exits == [-signal.SIGABRT]


def test_reload_during_startup_does_not_terminate_the_node(
    tmp_path: Path,
) -> None:
    node = build_node(tmp_path)
    node.start()
    # The earliest moment at which `reload` sends a signal.
    while node.is_running and not node.has_sighup_disposition():
        time.sleep(_POLL_INTERVAL_S)
    for _ in range(3):
        node.reload()
        time.sleep(_POLL_INTERVAL_S)
    is_running = node.is_running
    node.kill()
    node.record_exit()
    assert is_running
    assert not node.unexpected_exits
