"""The database groups of a node, kept in step with its view of the store."""

from collections.abc import Callable
from typing import Any

import curio

from deckdrum.backends import Backend, BackendServer
from deckdrum.control import Kind, Member, ServiceDeclaration
from deckdrum.forwarding import Forwarder
from deckdrum.leadership.context import LeadershipContext
from deckdrum.leadership.supervision import Supervisor
from deckdrum.node.statistics_logger import StatisticsLogger
from deckdrum.serving.execution import Execution
from deckdrum.serving.routing import Router
from deckdrum.serving.runners import StatementRunner
from deckdrum.serving.service import ServiceRuntime
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.tasks import keep_running


class ServiceManager:
    """Opens the groups that the configuration declares.

    Parameters
    ----------
    tools : ChangeTools
        What the node provides.
    make_direct : callable
        Makes what connects to a server.
    journal : Journal
        For logs.
    counters : Counters
        For metrics.
    """

    def __init__(
        self,
        tools: LeadershipContext,
        make_direct: Callable[[BackendServer], Backend],
        journal: Journal,
        counters: Counters,
    ) -> None:
        self.services: dict[str, ServiceRuntime] = {}
        self._tools = tools
        self._make_direct = make_direct
        self._journal = journal
        self._counters = counters
        #: Tells what was counted.
        self.figures = StatisticsLogger(self.services, counters, journal)
        self._executions: dict[str, Execution] = {}
        self._forwarders: dict[str, Forwarder] = {}
        self._supervisor_tasks: list[Any] = []

    def find_execution(self, service: str) -> Execution | None:
        """Return what runs statements of a group at this node itself."""
        return self._executions.get(service)

    def find_runner(
        self,
        service: str,
        workspace: str,
    ) -> StatementRunner | None:
        """Return what runs a workspace's statements, here or elsewhere."""
        runtime = self.services.get(service)
        if runtime is not None and runtime.holding.find_holders(workspace):
            return self._forwarders[service]
        return self.find_execution(service)

    async def adopt(self, own: Member, *, was_registered: bool) -> None:
        """Take over the view: groups, servers, leadership and members.

        `was_registered` tells that the store has known this node since before
        it listed anything.
        """
        configuration = self._tools.view.configuration
        if configuration is None:
            return
        book = configuration.workspaces
        workspaces = len(book.workspaces) if book else 0
        for declaration in configuration.services.values():
            await self._apply_declaration(declaration, own, workspaces)
            if was_registered:
                await self._apply_leadership_proof(declaration.name)

    async def close(self) -> None:
        """Stop to watch the groups, and close idle connections."""
        for task in self._supervisor_tasks:
            await task.cancel(blocking=False)
        for runtime in self.services.values():
            await runtime.close()

    async def _apply_declaration(
        self,
        declaration: ServiceDeclaration,
        own: Member,
        workspaces: int,
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
        await runtime.adopt_servers(listed, view.find_departure)
        await runtime.deal(declaration, own, view.members, workspaces)
        known = view.get_leadership(name)
        if known is not None:
            await runtime.leadership_state.adopt_record(*known)

    async def _apply_leadership_proof(self, service: str) -> None:
        """Take the list of leadership as proof, so that no server is asked.

        It is as good as a record read by itself, but only to a node that was
        registered when it asked: a change that began in between has asked
        every registered node, and waited for no other.
        """
        view = self._tools.view
        listed_at = view.listed_at.get(Kind.LEADERSHIP)
        if listed_at is not None:
            revision, record = view.get_leadership(service) or (0, None)
            leadership_state = self.services[service].leadership_state
            await leadership_state.record_store_answer(
                revision, record, listed_at
            )

    async def _open(
        self,
        declaration: ServiceDeclaration,
        own: Member,
    ) -> ServiceRuntime:
        runtime = ServiceRuntime(
            declaration,
            self._make_direct,
            self._tools.store,
            self._tools.peers,
            self._journal,
            self._counters,
            self._tools.policies,
        )
        supervisor = Supervisor(runtime, self._tools)
        runtime.on_server_failure = supervisor.handle_server_failure
        router = Router(runtime, own.data_centre)
        execution = Execution(runtime, router)
        self.services[declaration.name] = runtime
        self._executions[declaration.name] = execution
        self._forwarders[declaration.name] = Forwarder(
            runtime,
            self._tools.peers,
            execution,
        )
        self._supervisor_tasks.append(
            await curio.spawn(
                keep_running,
                self._journal,
                supervisor.run,
                daemon=True,
            ),
        )
        return runtime
