"""Tests that fail for known faults: they are passed over, and printed.

``KNOWN-RED.txt`` at the root lists them, an entry each.  One that passes fails
the run: its entry has to go.
"""

from functools import cache
from pathlib import Path
from typing import Final

import pytest

_LIST: Final = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_TEST: Final = 'test: '


def _read_list() -> str:
    return _LIST.read_text() if _LIST.exists() else ''


@cache
def _read_tests() -> frozenset[str]:
    """Return the node ids that stand in the list."""
    return frozenset(
        line.removeprefix(_TEST).strip()
        for line in _read_list().splitlines()
        if line.startswith(_TEST)
    )


def pytest_itemcollected(item: pytest.Item) -> None:  # noqa: WPS110
    """Expect a listed test to fail, with any parameters or with its own."""
    known = _read_tests()
    plain = item.nodeid.partition('[')[0]
    if item.nodeid in known or plain in known:
        reason = 'stands in KNOWN-RED.txt'
        item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the list."""
    text = _read_list().strip()
    if text:
        terminalreporter.section('known to fail')
        terminalreporter.write_line(text)
