"""Reports between holders about the load of servers."""

import curio
import pytest

from deckdrum.fleet.load_messages import AskLoad, LoadAnswer
from deckdrum.load.reports import SERVER_REPORT_LIFETIME_S
from deckdrum.serving.load_reports import LoadReports, ServerLoad
from deckdrum.serving.routing import Router
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import (
    BOUNDED,
    SERVICE,
    Deployment,
    run_scenario,
)

UNEVEN = (2, 2, 0.5)
NO_LOAD = ServerLoad()


def _find_router(deployment: Deployment) -> Router:
    manager = deployment.nodes[0].node._service_manager
    executor = manager.find_executor(SERVICE)
    assert executor is not None
    return executor._router


async def _ask_twice_a_second(client: LineClient, seconds: float) -> None:
    for _ in range(int(seconds * 2)):
        assert (await client.ask('READ a')).is_done
        await curio.sleep(0.5)


def test_reports_that_stop_are_ignored() -> None:
    # Failure: a report of a holder that has left counts for ever.
    reports = LoadReports()
    reports.record('n1', [['i-1', 3, 2, 0.02, False, 0]], asked_at=5)
    reports.record('n2', [['i-1', 1, 0, 0.01, False, 0]], asked_at=5.5)
    assert reports.summarize('i-1', now=6) == ServerLoad(6, 0.01)
    assert reports.summarize('i-1', now=7.1) == ServerLoad(1, 0.01)
    assert reports.summarize('i-1', now=8) == NO_LOAD


@pytest.mark.parametrize(
    'report',
    [
        ['i-1', -1, 0, 0, False, 0],
        ['i-1', 0, 10**12, 0, False, 0],
        ['i-1', 0, 0, float('nan'), True, 0],
        ['i-1', 0, 0, 0, True, -5],
        ['i-1'],
        [],
    ],
)
def test_invalid_report_is_ignored(report: list[object]) -> None:
    # Failure: one node makes all others avoid a server.
    reports = LoadReports()
    valid = ['i-2', 1, 0, 0, False, 0]
    assert reports.record('n1', [report, valid], asked_at=5) == 1
    assert reports.summarize('i-1', now=5) == NO_LOAD
    assert reports.summarize('i-2', now=5).load == 1


def test_holders_with_work_ask_each_other_in_turn() -> None:
    # Failure: a holder does not learn the load of some of the others.
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        await _ask_twice_a_second(client, 3)
        nodes = [running.node for running in deployment.nodes]
        asked = [each.counters.events['load_questions'] for each in nodes]
        assert asked[0] >= 4
        assert asked[1:] == [0, 0]
        router = _find_router(deployment)
        assert router.load_reports._reports.keys() == {'n1', 'n2'}

    run_scenario(scenario, capacities=UNEVEN)


@pytest.mark.parametrize('capacities', [(), (2, 2, 1.5)])
def test_even_fleet_sends_no_message(capacities: tuple[float, ...]) -> None:
    # Failure: messages that nodes of an earlier version do not know.
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        await _ask_twice_a_second(client, 2)
        counters = deployment.nodes[0].node.counters
        assert not counters.events['load_questions']

    run_scenario(scenario, capacities=capacities)


def test_node_without_capacity_is_not_asked() -> None:
    # Failure: a node of an earlier version closes the stream of each question.
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        await _ask_twice_a_second(client, 3)
        router = _find_router(deployment)
        assert router.load_reports._reports.keys() == {'n2'}

    run_scenario(scenario, capacities=(2, 0, 0.5))


def test_load_of_other_holders_moves_reads_to_another_replica() -> None:
    # Failure: each holder counts its own statements only.
    async def scenario(deployment: Deployment) -> None:
        reports = _find_router(deployment).load_reports
        client = await deployment.connect(BOUNDED)
        executed = deployment.group.executed_statements
        assert (await client.ask('READ a')).is_done
        await curio.sleep(0.1)
        assert (await client.ask('READ a')).is_done
        first = executed[-1].server
        busy = [first, 8, 12, 0.02, False, 0]
        reports.record('n1', [busy], await curio.clock())
        assert (await client.ask('READ a')).is_done
        primary = deployment.group.primary.name
        assert first != primary
        assert executed[-1].server not in {first, primary}

    run_scenario(scenario)


def test_node_without_an_answer_is_asked_rarely() -> None:
    # Failure: a node that does not know AskLoad is asked for ever.
    async def scenario(deployment: Deployment) -> None:
        peers = deployment.nodes[1].node.peers
        answer_request = peers.answer_request
        assert answer_request is not None

        async def answer_as_earlier_version(request: object) -> object:
            if isinstance(request, AskLoad):
                return None
            return await answer_request(request)  # type: ignore[arg-type]

        peers.answer_request = answer_as_earlier_version  # type: ignore[assignment]
        client = await deployment.connect(BOUNDED)
        await _ask_twice_a_second(client, 6)
        events = deployment.nodes[0].node.counters.events
        assert events['load_questions_unanswered'] == 1
        assert events['load_questions'] >= 8

    run_scenario(scenario, capacities=UNEVEN)


def test_server_avoided_by_others_is_used_once_it_answers_here() -> None:
    # Failure: a server that has recovered stays the last choice.
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        reports = _find_router(deployment).load_reports
        client = await deployment.connect(BOUNDED)
        await client.ask('READ a')
        now = await curio.clock()
        for handle in node.services[SERVICE].replicas:
            avoided = [handle.id, 0, 0, 0, True, 0]
            reports.record(f'of-{handle.id}', [avoided], now + 0.01)
        await curio.sleep(0.1)
        primary = deployment.group.primary.name
        assert (await client.ask('READ a')).is_done
        executed = deployment.group.executed_statements
        assert executed[-1].server == primary
        recovered = node.services[SERVICE].replicas[0]
        recovered.record_answer(await curio.clock())
        assert (await client.ask('READ a')).is_done
        assert executed[-1].server == recovered.id
        await curio.sleep(SERVER_REPORT_LIFETIME_S)
        load = reports.summarize(recovered.id, await curio.clock())
        assert load == NO_LOAD

    run_scenario(scenario)


def test_answer_tells_a_failure_until_the_server_answers() -> None:
    # Failure: a holder reports a server as avoided that answers it.
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        handle = node.services[SERVICE].replicas[0]
        handle.record_failure(await curio.clock(), ConnectionResetError())
        assert await _is_reported_avoided(deployment, handle.id)
        handle.record_answer(await curio.clock())
        assert not await _is_reported_avoided(deployment, handle.id)

    run_scenario(scenario)


async def _is_reported_avoided(deployment: Deployment, server: str) -> bool:
    asking, asked = (running.node for running in deployment.nodes[1::-1])
    answer = await asking.peers.ask(
        asked.settings.peer_address, AskLoad(SERVICE)
    )
    assert isinstance(answer, LoadAnswer)
    reports = LoadReports()
    now = await curio.clock()
    assert not reports.record('n', answer.reports, now)
    return reports.summarize(server, now).failed_at > 0
