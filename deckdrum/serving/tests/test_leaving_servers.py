"""What a node still sends to a server that leaves.

Requests of several nodes reached a primary long after it had said that it
leaves.  Nothing ends its use by time: a node that knows sends it everything for
as long as it answers and nobody has followed it.  The logs of that day did not
tell what the senders knew; of a node in this test the line
``server.used_while_leaving`` has the role of a primary, with ``known_for`` from
0.2 s on, and work reaches the server past the 7 s for which it serves on.
"""

import curio
import pytest

from deckdrum.testing.aims import DRAIN_TIME, GAP_AIM
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN,
    Deployment,
    LineClient,
    play,
)

#: How long the callers go on, in seconds.
WATCHED = 12.0
#: Longest time in which a request that cannot be served is refused, in s.
AT_ONCE = 0.1


async def _keep_asking(client: LineClient, text: str, seconds: float) -> None:
    ends_at = await curio.clock() + seconds
    while await curio.clock() < ends_at:
        await client.ask(text)
        await curio.sleep(0.05)


async def _watch_leaving(
    deployment: Deployment,
    seconds: float,
) -> list[str]:
    """Return what runs at any server after the time to leave is up."""
    kinds = ((CURRENT, 'WRITE a 1'), (BOUNDED, 'READ a'), (OWN, 'READ a'))
    callers = [
        (await deployment.connect(database, node), text)
        for node in range(len(deployment.nodes))
        for database, text in kinds
    ]
    async with curio.TaskGroup() as asking:
        for client, text in callers:
            await asking.spawn(_keep_asking, client, text, seconds)
        await curio.sleep(DRAIN_TIME)
        ran_before = len(deployment.group.ran)
    return [ran.server for ran in deployment.group.ran[ran_before:]]


@pytest.mark.parametrize('nodes', [3, 9])
def test_leaving_primary_without_a_successor_gets_no_work(nodes: int) -> None:
    async def scenario(deployment: Deployment) -> None:
        leaving = deployment.group.primary
        for server in deployment.group.servers.values():
            if server is not leaving:
                await server.crash()
        await leaving.drain()
        late = await _watch_leaving(deployment, WATCHED)
        assert leaving.name not in late

    play(scenario, nodes=nodes)


def test_group_that_leaves_as_a_whole_gets_no_work() -> None:
    async def scenario(deployment: Deployment) -> None:
        for server in deployment.group.servers.values():
            await server.drain()
        assert not await _watch_leaving(deployment, WATCHED)

    play(scenario)


def test_what_only_a_server_that_has_left_could_run_is_refused_at_once() -> (
    None
):
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        for server in deployment.group.servers.values():
            await server.drain()
        await curio.sleep(DRAIN_TIME)
        began = await curio.clock()
        refused = await client.ask('WRITE a 1')
        assert not refused.is_done
        assert await curio.clock() - began < AT_ONCE

    play(scenario)


def test_lapse_of_the_entry_does_not_give_new_time() -> None:
    async def scenario(deployment: Deployment) -> None:
        leaving = deployment.group.primary
        for server in deployment.group.servers.values():
            if server is not leaving:
                await server.crash()
        await leaving.drain()
        await curio.sleep(1)
        await deployment.store.drop('servers', leaving.name)
        # Longer than the nodes remember a server that is not listed.
        await curio.sleep(5.5)
        await leaving.publish()
        await curio.sleep(0.5)
        client = await deployment.connect(CURRENT)
        ran_before = len(deployment.group.ran)
        await _keep_asking(client, 'WRITE a 1', 3)
        assert len(deployment.group.ran) == ran_before

    play(scenario)


def test_leaving_primary_is_replaced_in_the_end_without_consent() -> None:
    """No node hears another, so that no planned change is agreed."""

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        for running in deployment.nodes:
            running.node.peers.answer = None
        await deployment.group.primary.drain()
        await curio.sleep(DRAIN_TIME)
        assert await client.write_until_done() < GAP_AIM

    play(scenario)
