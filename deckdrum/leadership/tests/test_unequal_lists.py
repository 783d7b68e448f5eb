"""Nodes that count proofs and fences on different lists of servers."""

from collections.abc import Sequence

import curio
import pytest

from deckdrum.control.view import IMPLIED_DRAIN_TIME_S, REMOVAL_GRACE_S
from deckdrum.leadership.state import PROOF_LIFETIME_S
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import CURRENT, SERVICE, Deployment, run_scenario
from deckdrum.utils import Address

#: Time after which nodes have forgotten a server whose entry is gone.
_FORGOTTEN_S = REMOVAL_GRACE_S + IMPLIED_DRAIN_TIME_S + 1
#: The node that is cut off from the store and from the other nodes.
_ISOLATED = 2


async def _forget(deployment: Deployment, servers: Sequence[str]) -> None:
    """Remove entries, as when they lapse, until nodes forget the servers."""
    for name in servers:
        await deployment.store.delete('servers', name)
    await curio.sleep(_FORGOTTEN_S)


async def _isolate(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cut a node off from the store and from the other nodes, both ways."""
    deployment.store.turned_away[f'n{_ISOLATED}'] = StoreFault.SILENT
    # Ends the watches in progress.
    await deployment.group.primary.publish()
    record = deployment.store.read('deckdrum-leadership', SERVICE)
    await deployment.store.write('deckdrum-leadership', SERVICE, record)
    await curio.sleep(0.1)
    peers = deployment.nodes[_ISOLATED].node.peers
    monkeypatch.setattr(peers, 'answer_request', _never_answer)
    monkeypatch.setattr(peers._streams, 'exchange', _lose_request)


async def _ignore_successor(*_: object) -> None:
    """Follow no successor, as a server that does not reach it."""


async def _never_answer(_: object) -> None:
    await curio.sleep(60)


async def _lose_request(address: Address, _: object) -> None:
    raise ConnectionAbortedError(f'cut off from {address}')


async def _count_late_writes(
    deployment: Deployment,
    monkeypatch: pytest.MonkeyPatch,
    unreachable: Sequence[str],
) -> int:
    """Replace the primary; return how many writes it acknowledges later.

    `unreachable` are the servers that the other nodes don't reach.  The
    isolated node does not reach the successor.
    """
    former = deployment.group.primary
    for name in unreachable:
        server = deployment.group.servers[name]
        server.is_replication_blocked = True
        monkeypatch.setattr(server, 'follow', _ignore_successor)
    for number in range(_ISOLATED):
        known = deployment.nodes[number].node.services[SERVICE].servers
        for name in unreachable:
            if name in known:
                await deployment.cut_off(number, name)
    client = await deployment.connect(CURRENT)
    await client.write_until_done(30)
    successor = deployment.group.primary
    assert successor is not former
    deployment._partitions.setdefault(_ISOLATED, set()).add(successor.name)
    await curio.sleep(PROOF_LIFETIME_S)
    isolated = await deployment.connect(CURRENT, node=_ISOLATED)
    return sum([(await isolated.ask('WRITE a 1')).is_done for _ in range(5)])


@pytest.mark.parametrize('known_servers', [3, 1])
def test_node_that_lists_one_server_needs_proof(
    monkeypatch: pytest.MonkeyPatch, known_servers: int
) -> None:
    """The entries of the replicas lapsed, and came back without its notice."""

    async def scenario(deployment: Deployment) -> None:
        former = deployment.group.primary
        replicas = [
            server
            for server in deployment.group.servers.values()
            if server is not former
        ]
        if known_servers == 1:
            await _forget(deployment, [server.name for server in replicas])
        isolated = deployment.nodes[_ISOLATED].node
        assert len(isolated.services[SERVICE].servers) == known_servers
        await _isolate(deployment, monkeypatch)
        for server in replicas:
            await server.publish()
            # The isolated node reaches the former primary only.
            deployment._partitions.setdefault(_ISOLATED, set()).add(server.name)
        await curio.sleep(2)
        late = await _count_late_writes(deployment, monkeypatch, [former.name])
        assert not late

    run_scenario(scenario)


@pytest.mark.parametrize('is_forgotten', [False, True])
def test_change_among_fewer_servers_leaves_no_proof(
    monkeypatch: pytest.MonkeyPatch, is_forgotten: bool
) -> None:
    """A replica that the driver does not reach proves the term to a node.

    Forgotten, it does not count; otherwise most nodes end the term instead.
    """

    async def scenario(deployment: Deployment) -> None:
        former = deployment.group.primary
        _, hidden = (
            server
            for server in deployment.group.servers.values()
            if server is not former
        )
        await _isolate(deployment, monkeypatch)
        if is_forgotten:
            await _forget(deployment, [hidden.name])
        unreachable = [former.name, hidden.name]
        late = await _count_late_writes(deployment, monkeypatch, unreachable)
        assert not late

    run_scenario(scenario)
