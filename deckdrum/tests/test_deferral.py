"""Tests of deferred imports.

Each test runs a fresh interpreter, since the modules are already loaded in this
one.
"""

import subprocess
import sys
from typing import Final

import pytest

_DEFERRED: Final = """
import sys
from deckdrum.deferral import UNUSED_BY_NODES, defer_imports
defer_imports(UNUSED_BY_NODES)
import deckdrum.platform.service
"""
#: Modules that only curio's bridges to other event loops import.
_UNUSED: Final = ('asyncio.base_events', 'asyncio.events')


def run_python(code: str) -> str:
    """Run code in a fresh interpreter and return its output."""
    completed = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout.strip()


def test_node_import_does_not_load_unused_modules() -> None:
    code = f'{_DEFERRED}print([m for m in {_UNUSED} if m in sys.modules])'
    assert run_python(code) == '[]'


def test_deferred_module_is_complete_once_used() -> None:
    code = (
        f'{_DEFERRED}'
        'import asyncio, curio.queue\n'
        'async def answer(): return 42\n'
        'print(asyncio.run(answer()), curio.queue.asyncio.run is asyncio.run)'
    )
    assert run_python(code) == '42 True'


def test_loaded_module_is_not_replaced() -> None:
    code = (
        'import asyncio\n'
        'from deckdrum.deferral import defer_imports\n'
        'before = asyncio.run\n'
        "defer_imports(['asyncio'])\n"
        'import asyncio\n'
        'print(asyncio.run is before)'
    )
    assert run_python(code) == 'True'


def test_unknown_module_is_reported_at_first_use() -> None:
    code = (
        'from deckdrum.deferral import defer_imports\n'
        "defer_imports(['no_such_module'])\n"
        'import no_such_module\n'
        'no_such_module.run'
    )
    with pytest.raises(subprocess.CalledProcessError) as raised:
        run_python(code)
    assert 'no_such_module' in raised.value.stderr
