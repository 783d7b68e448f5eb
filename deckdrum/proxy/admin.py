"""HTTP admin interface of a proxy: metrics, health, status and draining."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

import curio

from deckdrum.databases.base import DatabaseState
from deckdrum.keepers.core import Keeper
from deckdrum.utils import Address
from deckdrum.utils.http import HttpServer, Reply, Request

if TYPE_CHECKING:
    from deckdrum.proxy.core import Proxy

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_PROMETHEUS: Final = 'text/plain; version=0.0.4; charset=utf-8'
#: Limit on the routing decisions that ``GET /explain`` returns.
_MAX_SHOWN_DECISIONS: Final = 50


class AdminPort:
    """Serves the admin requests of operators and Prometheus.

    Parameters
    ----------
    proxy : Proxy
        The proxy.
    """

    def __init__(self, proxy: 'Proxy') -> None:
        self._proxy = proxy
        address = Address.parse(proxy.settings.admin_listen)
        self._server = HttpServer(address, self._handle_request)

    @property
    def address(self) -> Address:
        """Address of the admin interface."""
        return self._server.address

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def handle_metrics(self, request: Request) -> Reply:
        """Answer ``GET /metrics``."""
        proxy = self._proxy
        gauge_values = {
            'callers': len(proxy.registry.callers),
            'configuration_number': proxy.view.number,
            'platform_reachable': int(proxy.view.is_reachable),
            'platform_calls': proxy.view.store.calls,
            'peer_messages': proxy.peers.control_messages,
            'kept_services': len(proxy.keeper_manager.keepers),
        }
        for name, number in gauge_values.items():
            proxy.metrics.gauges.labels(name).set(number)
        headers = {'content-type': _PROMETHEUS}
        return Reply(_OK, proxy.metrics.render(), headers)

    async def handle_health(self, request: Request) -> Reply:
        """Answer ``GET /healthz``: whether the process is running."""
        return Reply.from_text('ok\n')

    async def handle_readiness(self, request: Request) -> Reply:
        """Answer ``GET /readyz``: whether the proxy accepts callers."""
        if self._proxy.is_ready:
            return Reply.from_text('ready\n')
        return Reply.from_text('not ready\n', _UNAVAILABLE)

    async def handle_status(self, request: Request) -> Reply:
        """Answer ``GET /status``."""
        proxy = self._proxy
        now = await curio.clock()
        services = {
            name: describe_keeper(keeper)
            for name, keeper in proxy.keeper_manager.keepers.items()
        }
        return Reply.from_json(
            {
                'name': proxy.name,
                'data_centre': proxy.settings.data_centre,
                'ready': proxy.is_ready,
                'draining': proxy.is_draining,
                'callers': len(proxy.registry.callers),
                'platform_reachable': proxy.view.is_reachable,
                'configuration': {
                    'number': proxy.view.number,
                    'in_force_for': now - proxy.view.active_since,
                },
                'peers': sorted(proxy.membership.proxies),
                'services': services,
            }
        )

    async def handle_explain(self, request: Request) -> Reply:
        """Answer ``GET /explain?service=NAME``."""
        name = request.query.get('service', '')
        keeper = self._proxy.keeper_manager.keepers.get(name)
        if keeper is None:
            return Reply.from_text(f'{name!r} is not kept here\n', _NOT_FOUND)
        decisions = list(keeper.decisions)[-_MAX_SHOWN_DECISIONS:]
        return Reply.from_json(
            {
                'now': await curio.clock(),
                'failovers': [
                    asdict(each) for each in keeper.supervisor.reports
                ],
                'decisions': [asdict(each) for each in decisions],
            }
        )

    async def handle_drain(self, request: Request) -> Reply:
        """Answer ``POST /drain``: start a planned shutdown."""
        await self._proxy.request_stop()
        return Reply.from_text('draining\n')

    async def _handle_request(self, request: Request) -> Reply:
        route_handler = _HANDLERS.get((request.method, request.path))
        if route_handler is None:
            return Reply.from_text('no such page\n', _NOT_FOUND)
        return await route_handler(self, request)


_Route = tuple[str, str]
_RequestHandler = Callable[[AdminPort, Request], Awaitable[Reply]]
_HANDLERS: Final[Mapping[_Route, _RequestHandler]] = MappingProxyType(
    {
        ('GET', '/metrics'): AdminPort.handle_metrics,
        ('GET', '/healthz'): AdminPort.handle_health,
        ('GET', '/readyz'): AdminPort.handle_readiness,
        ('GET', '/status'): AdminPort.handle_status,
        ('GET', '/explain'): AdminPort.handle_explain,
        ('POST', '/drain'): AdminPort.handle_drain,
    }
)


def describe_keeper(keeper: Keeper) -> dict[str, Any]:
    """Return the state of a keeper's service as a JSON-compatible value."""
    return {
        'term': keeper.watch.term,
        'primary': keeper.watch.primary,
        'channels': keeper.sessions,
        'pinned': keeper.pinned,
        'databases': {
            name: _describe_database(keeper, name) for name in keeper.databases
        },
    }


def _describe_database(keeper: Keeper, name: str) -> dict[str, Any]:
    state = keeper.watch.get_state(name)
    pool = keeper.pools[name]
    watcher = keeper.watch.watchers[name]
    return {
        'answers': state is not None,
        'state': _describe_state(state),
        'held': pool.queue.held,
        'waiting': pool.queue.waiting,
        'idle': pool.idle,
        'probes': watcher.probes,
        'late_probes': watcher.late_probes,
    }


def _describe_state(state: DatabaseState | None) -> dict[str, Any] | None:
    return None if state is None else asdict(state)
