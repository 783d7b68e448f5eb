"""Expected failures: tests listed in ``KNOWN-RED.txt`` at the repository root.

They are marked as strict xfail, so a listed test that passes fails the run
until its entry is removed.  The list is printed at the end of the run.
"""

from functools import cache
from pathlib import Path
from typing import Final

import pytest

_KNOWN_RED_FILE: Final = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_TEST_PREFIX: Final = 'test: '


def _read_list() -> str:
    return _KNOWN_RED_FILE.read_text() if _KNOWN_RED_FILE.exists() else ''


@cache
def _read_known_tests() -> frozenset[str]:
    """Return the listed node ids."""
    return frozenset(
        line.removeprefix(_TEST_PREFIX).strip()
        for line in _read_list().splitlines()
        if line.startswith(_TEST_PREFIX)
    )


def pytest_itemcollected(item: pytest.Item) -> None:  # noqa: WPS110
    """Mark a test as xfail if it is listed with or without its parameters."""
    known_tests = _read_known_tests()
    base_id = item.nodeid.partition('[')[0]
    if item.nodeid in known_tests or base_id in known_tests:
        reason = 'listed in KNOWN-RED.txt'
        item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the list of known failures."""
    text = _read_list().strip()
    if text:
        terminalreporter.section('known to fail')
        terminalreporter.write_line(text)
