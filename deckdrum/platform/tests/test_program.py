"""Startup of a node process."""

import signal
from types import SimpleNamespace

import pytest

from deckdrum.platform import program


def test_sighup_is_ignored_while_the_node_is_imported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seen: list[object] = []

    def import_service(name: str) -> SimpleNamespace:
        seen.extend((name, signal.getsignal(signal.SIGHUP)))
        return SimpleNamespace(main=lambda: 7)

    monkeypatch.setattr(program, 'import_module', import_service)
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert program.main() == 7
    finally:
        signal.signal(signal.SIGHUP, before)
    assert seen == ['deckdrum.platform.service', signal.SIG_IGN]
