"""Assembly of a node and its listeners, from start to shutdown."""

import signal
import sys
from functools import partial
from pathlib import Path
from typing import Any, Final

import curio

from deckdrum.commands.signals import STOP_SIGNALS, catch_signals
from deckdrum.fleet.policies import ALL_POLICIES, Policy, exclude_policies
from deckdrum.node import Node
from deckdrum.node.shutdown import GracefulShutdown
from deckdrum.outcomes.errors import SettingsError
from deckdrum.platform.backends import PlatformBackend
from deckdrum.platform.frontend import Frontend
from deckdrum.platform.promotion_client import PlatformPromotionClient
from deckdrum.platform.settings import (
    PlatformSettings,
    find_settings_path,
    load_settings,
)
from deckdrum.platform.store import PlatformStore
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.http import HttpServer, Reply, Request
from deckdrum.utils.journal import open_nonblocking_journal

_READY_PATH: Final = '/-/ready'
_METRICS_PATH: Final = '/metrics'
_EXIT_USAGE: Final = 2
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_SIGNAL_BUFFER_BYTES: Final = 16


class NodeProgram:
    """A node with its client, readiness and metrics listeners.

    Parameters
    ----------
    path : Path
        Path of the settings file, which SIGHUP reloads.
    settings : PlatformSettings
        Settings at startup.
    journal : Journal
        Log of the node.
    policies : frozenset of Policy
        Enabled policies.
    """

    def __init__(
        self,
        path: Path,
        settings: PlatformSettings,
        journal: Journal,
        policies: frozenset[Policy] = ALL_POLICIES,
    ) -> None:
        self._path = path
        self._settings = settings
        self._journal = journal
        node_settings = settings.make_node_settings(policies)
        counters = Counters()
        store = PlatformStore(settings.store_address, journal, counters)
        self.node = Node(
            node_settings,
            store,
            PlatformPromotionClient(settings.cloud_api_address),
            partial(PlatformBackend, node=node_settings.name),
            journal,
            counters,
        )
        self.frontend = Frontend(self.node, settings.clients_address)
        self._readiness = HttpServer(
            settings.readiness_address,
            self._answer_readiness,
        )
        self._metrics = HttpServer(
            settings.metrics_address,
            self._answer_metrics,
        )

    async def run(self, signals: Any) -> None:
        """Run until a stop signal arrives, then shut down."""
        await self._readiness.start()
        await self._metrics.start()
        await self.node.start()
        await self.frontend.start()
        while True:
            for number in await signals.recv(_SIGNAL_BUFFER_BYTES):
                if number in STOP_SIGNALS:
                    stop = GracefulShutdown(self.node, self.frontend)
                    await stop.run(self._settings.grace_period)
                    return
                self._reload()

    def _reload(self) -> None:
        """Reload the settings file; keep the old settings if it is invalid."""
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            self._journal.record('settings.unreadable', reason=str(error))
            return
        has_changed = settings != self._settings
        self._settings = settings
        self._journal.record('settings.reloaded', changed=has_changed)

    async def _answer_readiness(self, request: Request) -> Reply:
        if request.path != _READY_PATH:
            return Reply.from_text('not found', _NOT_FOUND)
        if self.node.is_ready:
            return Reply.from_text('ready')
        return Reply.from_text('not ready', _UNAVAILABLE)

    async def _answer_metrics(self, request: Request) -> Reply:
        if request.path != _METRICS_PATH:
            return Reply.from_text('not found', _NOT_FOUND)
        return Reply.from_text(self.node.counters.render().decode())


async def run_program(
    path: Path,
    settings: PlatformSettings,
    policies: frozenset[Policy],
) -> None:
    """Run a node until a stop signal arrives."""
    journal = open_nonblocking_journal(settings.node_name, sys.stdout.fileno())
    program = NodeProgram(path, settings, journal, policies)
    with catch_signals((*STOP_SIGNALS, signal.SIGHUP)) as signals:
        await program.run(signals)


def parse_arguments(arguments: list[str]) -> frozenset[Policy]:
    """Return the enabled policies; ``--without NAME,...`` disables some.

    Raises
    ------
    SettingsError
        If the arguments are invalid.

    Examples
    --------
    >>> parse_arguments(['--without', 'borrowing']) < ALL_POLICIES
    True
    """
    if not arguments:
        return ALL_POLICIES
    option, *names = arguments
    if option != '--without' or len(names) != 1:
        given = ' '.join(arguments)
        raise SettingsError(f'{given!r}, expected --without NAME,...')
    return exclude_policies(names[0].split(','))


def main() -> int:
    """Run the program and return its exit code."""
    try:
        path = find_settings_path()
        settings = load_settings(path)
        policies = parse_arguments(sys.argv[1:])
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return _EXIT_USAGE
    curio.run(run_program, path, settings, policies)
    return 0
