"""Watches that hear nothing any more, and nobody notices.

A watch was sent just when the store fell silent, since a change had come a
moment before.  The store was back after 2.5 s, and the kinds whose watches had
failed were regained at once, but this one waited on for its 25 s.  All nodes
were without news of the servers for that long, and sent requests to servers
that had said that they leave.  What settled it were ``store.lost`` of the
servers alone, 24 s after ``store.regained`` of the other kinds, on all nodes.
"""

import curio
import pytest

from deckdrum.control import Changes, Entry, Kind
from deckdrum.platform.records import KIND_NAMES
from deckdrum.standins.users import DatabaseServer, StoreFault
from deckdrum.testing.aims import CONTACT_TIME
from deckdrum.testing.nodes import Deployment, build_config, play

#: Longest time until every node knows what the store tells then, in seconds:
#: half of the 7 s in which a leaving server may be used.
NEWS_LIMIT = 3.5
#: Nodes that all watch, and nodes of which most follow a few.
FLEETS = ((3, 3), (9, 1))


def _find_replica(deployment: Deployment) -> DatabaseServer:
    return next(
        server
        for server in deployment.group.servers.values()
        if server.role == 'replica'
    )


async def _drain_one(deployment: Deployment) -> float:
    """Have a replica leave; return when all nodes know, in seconds."""
    replica = _find_replica(deployment)
    await replica.drain()
    return await deployment.wait_for(
        lambda: all(
            running.node.view.servers[replica.name].is_draining
            for running in deployment.nodes
        ),
        60,
    )


async def _change_all_kinds(deployment: Deployment) -> None:
    """Have every waiting watch answered, so that the next calls are made."""
    for kind in KIND_NAMES.values():
        await deployment.store.write(kind, 'unreadable', {})


@pytest.mark.parametrize(('nodes', 'centres'), FLEETS)
@pytest.mark.parametrize('since', [0, 0.3, 0.45, 0.7])
def test_watch_that_is_sent_into_a_silence_is_noticed(
    nodes: int,
    centres: int,
    since: float,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        await _change_all_kinds(deployment)
        await curio.sleep(since)
        deployment.store.fault = StoreFault.SILENT
        await curio.sleep(2.5)
        deployment.store.fault = StoreFault.NONE
        await curio.sleep(CONTACT_TIME)
        assert await _drain_one(deployment) < NEWS_LIMIT

    play(scenario, nodes=nodes, centres=centres, settle=3.0)


@pytest.mark.parametrize(('nodes', 'centres'), FLEETS)
def test_watches_that_go_silent_for_good_are_noticed(
    nodes: int,
    centres: int,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.mute_watches()
        await curio.sleep(CONTACT_TIME)
        assert await _drain_one(deployment) < NEWS_LIMIT

    play(scenario, nodes=nodes, centres=centres, settle=3.0)


def test_configuration_comes_though_its_watch_is_silent() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.mute_watches()
        await curio.sleep(CONTACT_TIME)
        await deployment.store.write('config', 'main', build_config(9))
        took = await deployment.wait_for(
            lambda: all(
                running.node.view.version == 9 for running in deployment.nodes
            ),
            60,
        )
        assert took < NEWS_LIMIT

    play(scenario)


def test_older_news_does_not_bring_back_a_server_that_left() -> None:
    """A peer's answer is overtaken by the store's word of a removal."""

    async def scenario(deployment: Deployment) -> None:
        view = deployment.nodes[0].node.view
        name = _find_replica(deployment).name
        server = view.servers[name]
        revision = view.get_revision(Kind.SERVERS)
        gone = Changes(revision + 2, (Entry(name, revision + 2, None),))
        late = Changes(revision + 1, (Entry(name, revision + 1, server),))
        await view.apply_update(Kind.SERVERS, gone)
        await view.apply_update(Kind.SERVERS, late)
        known = view.read_update(Kind.SERVERS, 0).entries
        assert name not in {entry.name for entry in known}
        back = Changes(revision + 3, (Entry(name, revision + 3, server),))
        await view.apply_update(Kind.SERVERS, back)
        known = view.read_update(Kind.SERVERS, 0).entries
        assert name in {entry.name for entry in known}

    play(scenario)


def test_server_that_went_and_came_back_in_one_answer_is_listed() -> None:
    """Entries lapse while the store is away, and are back soon after.

    A group had no servers for the rest of a day: the answer told that its
    entries were removed and, later, that they were back, and the removal was
    dated to the end of the answer.
    """

    async def scenario(deployment: Deployment) -> None:
        view = deployment.nodes[0].node.view
        name = _find_replica(deployment).name
        server = view.servers[name]
        revision = view.get_revision(Kind.SERVERS)
        told = (
            Entry(name, revision, None),
            Entry(name, revision + 2, server),
        )
        await view.apply_update(Kind.SERVERS, Changes(revision + 4, told))
        known = view.read_update(Kind.SERVERS, 0).entries
        assert name in {entry.name for entry in known}

    play(scenario)
