"""Every step of an attempt fails once, and nothing stays in use."""

from functools import partial
from typing import Any, Final

import curio
import pytest

from deckdrum.backends import Pool
from deckdrum.fleet.borrowing import DirectBackend
from deckdrum.fleet.policies import ALL_POLICIES, Policy, exclude_policies
from deckdrum.members import FairQueue
from deckdrum.platform.backends import PlatformBackend, PlatformLink
from deckdrum.serving import attempts, transactions
from deckdrum.serving.executor import StatementExecutor
from deckdrum.serving.response_times import ResponseTimes
from deckdrum.serving.retries import RetryPolicy
from deckdrum.serving.routing import Router
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.slots import SlotGate
from deckdrum.testing.broken_steps import BrokenStep
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import (
    CURRENT,
    OWN_WRITES,
    SERVICE,
    Deployment,
    run_scenario,
)

_STEPS: Final = (
    (Router, 'choose_reader'),
    (Router, 'choose_primary'),
    (ServerHandle, 'acquire'),
    (FairQueue, 'acquire'),
    (Pool, '_get_link'),
    (DirectBackend, 'connect_for'),
    (PlatformBackend, 'wrap'),
    (attempts, 'prepare_link'),
    (transactions, 'prepare_link'),
    (PlatformLink, 'run'),
    (PlatformLink, '_read_answer'),
    (PlatformLink, 'reset'),
    (SlotGate, 'acquire'),
    (SlotGate, 'admit_waiting'),
    (attempts, 'run_on_link'),
    (transactions, 'run_on_link'),
    (ResponseTimes, 'record'),
    (ServerHandle, 'record_answer'),
    (ServiceRuntime, 'record_position'),
    (RetryPolicy, 'decide'),
    (StatementExecutor, '_record_success'),
    (StatementExecutor, 'confirm_change'),
    (attempts, '_roll_back'),
)
#: Steps after an answer that was lost.
_STEPS_AFTER_FAILURES: Final = (
    (PlatformLink, 'close'),
    (ServerHandle, 'record_timeout'),
    (ServiceRuntime, 'report_server_failure'),
    (RetryPolicy, 'decide'),
    (Router, 'choose_primary'),
)
#: Steps at a node that forwards or borrows, or at its peer.
_REMOTE_STEPS: Final = (
    (ServerHandle, 'acquire'),
    (FairQueue, 'acquire'),
    (attempts, 'prepare_link'),
    (PlatformLink, 'run'),
    (PlatformLink, '_read_answer'),
    (SlotGate, 'acquire'),
    (ServerHandle, 'record_answer'),
    (StatementExecutor, '_record_success'),
)
_ERRORS: Final = (
    KeyError,
    ValueError,
    ConnectionResetError,
    curio.CancelledError,
)
_MAX_CALLS_BEFORE: Final = 3
#: Statements of one session, also such that change the connection's state.
_STATEMENTS: Final = (
    'READ a',
    'WRITE a 1',
    'SET colour red',
    'PREPARE s1 READ q1',
    'EXECUTE s1 a',
    'BEGIN',
    'WRITE a 2',
    'EXECUTE s1 a',
    'COMMIT',
    'BEGIN',
    'READ a',
    'ROLLBACK',
)


#: Number of connections per server, some of which hang after lost answers.
_CONNECTIONS: Final = 90


def _list_handles(deployment: Deployment) -> list[ServerHandle]:
    return [
        handle
        for running in deployment.nodes
        for handle in running.node.services[SERVICE].servers.values()
    ]


def _is_anything_in_use(deployment: Deployment) -> bool:
    """Return whether connections, slots or places in queues are taken."""
    runtimes = [each.node.services[SERVICE] for each in deployment.nodes]
    is_lent = any(each.node.lent_connections for each in deployment.nodes)
    is_running = any(runtime.statements.count for runtime in runtimes)
    return (
        is_lent
        or is_running
        or any(
            handle.load or handle.gate.in_flight or handle.gate.waiting
            for handle in _list_handles(deployment)
        )
    )


async def _wait_until_unused(deployment: Deployment) -> None:
    await deployment.wait_for(lambda: not _is_anything_in_use(deployment))


def _find_caller(deployment: Deployment) -> int:
    """Return a node without own connections to the primary, or the first."""
    primary = deployment.group.primary.name
    numbers = [
        number
        for number, running in enumerate(deployment.nodes)
        if not running.node.services[SERVICE].servers[primary].is_holder
    ]
    return [*numbers, 0][0]


async def _run_statements(
    deployment: Deployment,
    database: str,
    *,
    may_close: bool,
    lost_answers: int,
) -> None:
    """Run all statements; each is answered, unless the session may close."""
    client = await deployment.connect(database, _find_caller(deployment))
    for server in deployment.group.servers.values():
        server.lost_answers = lost_answers
    for statement in _STATEMENTS:
        reply = await client.ask(statement)
        if not reply.end:
            assert may_close
            break
    await client.close()


async def _check_service(client: LineClient) -> None:
    await client.write_until_done()
    assert (await client.ask('READ a')).is_done


@pytest.mark.parametrize(
    ('owner', 'name', 'lost_answers'),
    [
        *((*step, 0) for step in _STEPS),
        *((*step, 1) for step in _STEPS_AFTER_FAILURES),
    ],
)
def test_nothing_stays_in_use_after_a_broken_step(
    owner: Any, name: str, lost_answers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Errors other than a KeyError held connections, slots and callers."""

    step = BrokenStep(owner, name)
    step.install(monkeypatch)
    run_scenario(
        partial(_break_repeatedly, step=step, lost_answers=lost_answers),
        max_connections=_CONNECTIONS,
        settle=0.5,
    )


@pytest.mark.parametrize(('owner', 'name'), _REMOTE_STEPS)
@pytest.mark.parametrize(
    'policies', [ALL_POLICIES, exclude_policies(['forwarding'])]
)
def test_nothing_stays_in_use_on_other_nodes_either(
    policies: frozenset[Policy],
    owner: Any,
    name: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Statements that are forwarded, and those on connections that are lent."""
    step = BrokenStep(owner, name)
    step.install(monkeypatch)
    run_scenario(
        partial(_break_repeatedly, step=step),
        nodes=12,
        max_connections=9,
        settle=2.5,
        policies=policies,
    )


async def _break_repeatedly(
    deployment: Deployment, step: BrokenStep, lost_answers: int = 0
) -> None:
    """Let a step fail by each error, at each of its first calls."""
    broken = 0
    client = await deployment.connect(CURRENT)
    for error in _ERRORS:
        for calls_before in range(_MAX_CALLS_BEFORE):
            for database in (CURRENT, OWN_WRITES):
                step.arm(error('broken'), calls_before)
                await _run_statements(
                    deployment,
                    database,
                    may_close=error is curio.CancelledError,
                    lost_answers=lost_answers,
                )
                broken += step.is_broken
                step.error = None
                await _wait_until_unused(deployment)
    assert broken
    caller = deployment.nodes[_find_caller(deployment)].node
    handle = caller.services[SERVICE].servers[deployment.group.primary.name]
    is_remote = caller.counters.events['forwards'] or handle.loans.stats.opened
    assert handle.is_holder or is_remote
    for server in deployment.group.servers.values():
        server.lost_answers = 0
    await _check_service(client)
