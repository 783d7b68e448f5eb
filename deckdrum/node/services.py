"""The database groups of a node, updated from its view of the store."""

from collections.abc import Callable
from typing import Any

import curio

from deckdrum.backends import Backend, BackendServer
from deckdrum.control import Kind, Member, ServiceDeclaration
from deckdrum.forwarding import Forwarder
from deckdrum.leadership.context import LeadershipContext
from deckdrum.leadership.monitoring import PrimaryMonitor
from deckdrum.node.load_figures import LoadMonitor
from deckdrum.node.statistics_logger import StatisticsLogger
from deckdrum.serving.executor import StatementExecutor
from deckdrum.serving.load_reports import LoadExchange
from deckdrum.serving.routing import Router
from deckdrum.serving.runners import StatementRunner
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.tasks import keep_running


class ServiceManager:
    """Opens the database groups that the configuration declares.

    Parameters
    ----------
    tools : ChangeTools
        The node's view, store, peers and other dependencies.
    make_backend : callable
        Creates the backend that connects to a server.
    journal : Journal
        Log of the node.
    counters : Counters
        Metrics of the node.
    capacity : float
        Published capacity of the machine in cores; 0 if unknown.
    """

    def __init__(
        self,
        tools: LeadershipContext,
        make_backend: Callable[[BackendServer], Backend],
        journal: Journal,
        counters: Counters,
        capacity: float = 0,
    ) -> None:
        self.services: dict[str, ServiceRuntime] = {}
        self._tools = tools
        self._make_backend = make_backend
        self._journal = journal
        self._counters = counters
        #: Further parts add their sources here.
        self.load_monitor = LoadMonitor(capacity, self.services, counters)
        self.statistics_logger = StatisticsLogger(
            self.services, counters, journal, self.load_monitor
        )
        self._executors: dict[str, StatementExecutor] = {}
        self._forwarders: dict[str, Forwarder] = {}
        self._supervisor_tasks: list[Any] = []
        #: Since when this node is a member, in kernel seconds.
        self._member_since = float('inf')

    def find_executor(self, service: str) -> StatementExecutor | None:
        """Return what runs a group's statements on this node."""
        return self._executors.get(service)

    def find_runner(
        self,
        service: str,
        workspace: str,
    ) -> StatementRunner | None:
        """Return the local or remote runner of a workspace's statements."""
        runtime = self.services.get(service)
        if runtime is not None and runtime.allocator.find_holders(workspace):
            return self._forwarders[service]
        return self.find_executor(service)

    async def apply_view(self, own: Member) -> None:
        """Update groups, servers, leadership and allocation from the view."""
        configuration = self._tools.view.configuration
        if configuration is None:
            return
        workspace_book = configuration.workspaces
        workspace_count = (
            len(workspace_book.workspaces) if workspace_book else 0
        )
        for declaration in configuration.services.values():
            await self._apply_declaration(declaration, own, workspace_count)
            await self._apply_leadership_proof(declaration.name)

    def apply_membership(self, member_since: float, now: float) -> None:
        """Record since when changes of primaries ask this node for consent.

        Until then it forwards the statements of its callers.
        """
        self._member_since = member_since
        for runtime in self.services.values():
            runtime.leadership_state.member_since = member_since
            runtime.allocator.set_membership(is_member=member_since <= now)

    async def retire(self) -> None:
        """Stop supervising the groups and using their primaries."""
        for task in self._supervisor_tasks:
            await task.cancel(blocking=False)
        async with curio.TaskGroup() as retiring:
            for runtime in self.services.values():
                await retiring.spawn(_retire, runtime)

    async def close(self) -> None:
        """Close idle connections."""
        for runtime in self.services.values():
            await runtime.close()

    async def _apply_declaration(
        self,
        declaration: ServiceDeclaration,
        own: Member,
        workspace_count: int,
    ) -> None:
        view = self._tools.view
        name = declaration.name
        runtime = self.services.get(name)
        if runtime is None:
            runtime = await self._open(declaration, own)
        listed = {
            server.id: server
            for server in view.servers.values()
            if server.service == name
        }
        await runtime.apply_servers(listed, view.get_drain_status)
        await runtime.allocate_connections(
            declaration, own, view.members, workspace_count
        )
        known = view.get_leadership(name)
        if known is not None:
            await runtime.leadership_state.apply_record(*known)

    async def _apply_leadership_proof(self, service: str) -> None:
        """Use the listed leadership records as proof, without asking a server.

        They prove leadership only if changes of a primary asked this node for
        its consent when it read them.
        """
        view = self._tools.view
        listed_at = view.listed_at.get(Kind.LEADERSHIP, float('-inf'))
        if listed_at < self._member_since:
            return
        revision, record = view.get_leadership(service) or (0, None)
        leadership_state = self.services[service].leadership_state
        await leadership_state.record_store_answer(revision, record, listed_at)

    async def _open(
        self,
        declaration: ServiceDeclaration,
        own: Member,
    ) -> ServiceRuntime:
        runtime = ServiceRuntime(
            declaration,
            self._make_backend,
            self._tools.store,
            self._tools.peers,
            self._journal,
            self._counters,
            self._tools.policies,
        )
        runtime.leadership_state.member_since = self._member_since
        runtime.allocator.set_membership(
            is_member=self._member_since <= await curio.clock()
        )
        monitor = PrimaryMonitor(runtime, self._tools)
        runtime.on_server_failure = monitor.handle_server_failure
        router = Router(runtime, own.data_centre)
        exchange = LoadExchange(runtime, self._tools.peers, router.load_reports)
        executor = StatementExecutor(runtime, router)
        self.services[declaration.name] = runtime
        self._executors[declaration.name] = executor
        self._forwarders[declaration.name] = Forwarder(
            runtime,
            self._tools.peers,
            executor,
            own.data_centre,
        )
        for run in (monitor.run, exchange.run):
            self._supervisor_tasks.append(
                await curio.spawn(
                    keep_running, self._journal, run, daemon=True
                ),
            )
        return runtime


async def _retire(runtime: ServiceRuntime) -> None:
    """Stop using a group's primary; running statements may finish first."""
    state = runtime.leadership_state
    state.is_retired = True
    await runtime.statements.wait_until_done()
    state.close_term(state.term)
