"""Load shedding at entry nodes, with whole nodes in virtual time."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from deckdrum.fleet.channels import StreamChannel
from deckdrum.forwarding.encoding import decode_route, encode_outcome
from deckdrum.outcomes import Code, refuse
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN_WRITES,
    SERVICE,
    Deployment,
    RunningNode,
    build_route,
    run_scenario,
)

#: More nodes than connections to a server: one holder per data centre.
NODES = 12
MAX_CONNECTIONS = 9
RETRY_AFTER_S = 0.08
Scenario = Callable[[Deployment], Awaitable[None]]


def _build_routes(urgent: int) -> list[dict[str, Any]]:
    return [
        build_route(CURRENT, 'primary', priority=urgent),
        build_route(OWN_WRITES, 'own_writes', maxStalenessMs=500, priority=1),
        build_route(BOUNDED, 'bounded', maxStalenessMs=500, priority=2),
    ]


def _run(scenario: Scenario) -> None:
    run_scenario(
        scenario, nodes=NODES, max_connections=MAX_CONNECTIONS, settle=2.5
    )


def _find_node(deployment: Deployment, *, is_holder: bool) -> RunningNode:
    return next(
        running
        for running in deployment.nodes
        if running.node.services[SERVICE].allocator.is_holder == is_holder
    )


async def _connect(
    deployment: Deployment, database: str, caller: RunningNode
) -> LineClient:
    """Open a session and run a statement in it."""
    number = deployment.nodes.index(caller)
    client = await deployment.connect(database, number)
    assert (await client.ask('READ a')).is_done
    return client


async def _start(
    deployment: Deployment,
) -> tuple[RunningNode, RunningNode, LineClient]:
    """Return a node that forwards, its first holder and a background client."""
    await deployment.configure(2, routes=_build_routes(0))
    caller = _find_node(deployment, is_holder=False)
    client = await _connect(deployment, BOUNDED, caller)
    name = caller.node.services[SERVICE].allocator.others[0].name
    holder = next(
        running
        for running in deployment.nodes
        if running.node.settings.name == name
    )
    return caller, holder, client


def _overload(holder: RunningNode, rejected: list[str]) -> Callable[[], None]:
    """Make a holder reject background statements, and return how to end it."""
    serve = holder.node.peers.run_forwarded_statement
    assert serve is not None

    async def reject(channel: StreamChannel, message: Any) -> None:
        database = decode_route(message).database
        if database != BOUNDED:
            await serve(channel, message)
            return
        rejected.append(database)
        refusal = refuse(Code.QUEUE_FULL, 'overloaded', RETRY_AFTER_S)
        await channel.send(encode_outcome(refusal, is_open=False))

    def end() -> None:
        holder.node.peers.run_forwarded_statement = serve

    holder.node.peers.run_forwarded_statement = reject
    return end


def test_entry_node_rejects_what_the_holder_would_reject() -> None:
    async def scenario(deployment: Deployment) -> None:
        caller, holder, client = await _start(deployment)
        urgent = await _connect(deployment, CURRENT, caller)
        usual = await _connect(deployment, OWN_WRITES, caller)
        rejected: list[str] = []
        end = _overload(holder, rejected)
        began = await curio.clock()
        replies = [await client.ask('READ a') for _ in range(20)]
        assert await curio.clock() - began < 0.02
        assert len(rejected) == 1
        for reply in replies:
            assert reply.end == 'ERROR'
            assert reply.text.startswith('BUSY not run')
        assert caller.node.counters.turned_away == {(2, 'entry'): 19}
        # More urgent statements are sent to the holder.
        assert (await urgent.ask('WRITE a 1')).is_done
        assert (await usual.ask('READ a')).is_done
        end()
        # The next probe finds the capacity.
        await curio.sleep(0.02)
        for _ in range(2):
            assert (await client.ask('READ a')).is_done
        assert len(rejected) == 1

    _run(scenario)


def test_dead_holder_is_not_shed_for() -> None:
    """The holder whose statements are shed dies; another one serves them."""

    async def scenario(deployment: Deployment) -> None:
        _, holder, client = await _start(deployment)
        _overload(holder, [])
        assert not (await client.ask('READ a')).is_done
        deployment.nodes.remove(holder)
        await holder.node.peers.close()
        began = await curio.clock()
        while not (await client.ask('READ a')).is_done:
            await curio.sleep(0.005)
        assert await curio.clock() - began < 0.15
        for _ in range(5):
            assert (await client.ask('READ a')).is_done
        await deployment.stop_node(holder)

    _run(scenario)


def test_nothing_is_shed_without_urgent_routes() -> None:
    """Guards against shedding that outlives a change of configuration."""

    async def scenario(deployment: Deployment) -> None:
        caller, holder, client = await _start(deployment)
        rejected: list[str] = []
        _overload(holder, rejected)
        for _ in range(2):
            assert not (await client.ask('READ a')).is_done
        assert len(rejected) == 1
        await deployment.configure(3, routes=_build_routes(1))
        for _ in range(5):
            assert not (await client.ask('READ a')).is_done
        assert len(rejected) == 6
        assert caller.node.counters.turned_away == {(2, 'entry'): 1}

    _run(scenario)


def test_priorities_follow_the_configuration() -> None:
    async def scenario(deployment: Deployment) -> None:
        holder = _find_node(deployment, is_holder=True)
        runtime = holder.node.services[SERVICE]
        primary = runtime.primary
        assert primary is not None
        client = await _connect(deployment, CURRENT, holder)
        queue = primary.pool.queue
        for version, urgent in enumerate((1, 0, 1), start=2):
            await deployment.configure(version, routes=_build_routes(urgent))
            await curio.sleep(0.1)
            if urgent:
                # Before any statement brings a route anew.
                assert not queue.count_waiting()
            assert (await client.ask('READ a')).is_done
            assert bool(queue.count_waiting().keys()) == (urgent == 0)

    _run(scenario)
