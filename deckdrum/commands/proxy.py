"""``deckdrum-proxy``: runs one proxy until SIGTERM."""

import sys
from collections.abc import Sequence
from pathlib import Path

import curio

from deckdrum.commands.parsing import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    make_parser,
)
from deckdrum.commands.signals import catch_signals, stop_at_signal
from deckdrum.outcomes.errors import SettingsError
from deckdrum.proxy import Proxy
from deckdrum.settings import ProxySettings, load_settings
from deckdrum.store.objects import HttpObjectStore
from deckdrum.utils import Address, open_journal

_DESCRIPTION = """\
Runs one deckdrum proxy in the foreground. SIGTERM or SIGINT begins a planned
stop: requests in flight are finished, callers are told at a transaction
boundary, and the process ends within the setting drain_limit."""


async def run_until_signal(settings: ProxySettings) -> bool:
    """Run a proxy; return whether it drained in time."""
    store = HttpObjectStore(Address.parse(settings.platform))
    proxy = Proxy(settings, store, open_journal(settings.name))
    with catch_signals() as signals:
        await curio.spawn(
            stop_at_signal, signals, proxy.request_stop, daemon=True
        )
        return await proxy.run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = make_parser('deckdrum-proxy', _DESCRIPTION)
    parser.add_argument(
        'settings',
        type=Path,
        help='YAML settings file; see docs/settings.rst',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='only check the settings file',
    )
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    if options.check:
        return EXIT_OK
    return EXIT_OK if curio.run(run_until_signal, settings) else EXIT_FAILED
