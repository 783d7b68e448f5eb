"""Requests to a peer that also serves channels."""

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.fleet.membership import rank_keepers
from deckdrum.fleet.messages import (
    AskProbe,
    Heartbeat,
    ProbeAnswer,
)
from deckdrum.utils.virtualtime import run_virtual


def test_requests_are_answered_while_idle_channels_are_pooled() -> None:
    async def main() -> list[bool]:
        deployment = Deployment(Layout(services=('stalls',)))
        await deployment.start()
        ranked = rank_keepers('stalls', deployment.proxies)
        entry = deployment.proxies[ranked[2]]
        keeper = deployment.proxies[ranked[0]].membership.own
        client = await deployment.connect(entry.name)
        checks = []
        for _ in range(3):
            await client.run('SELECT 1')
            echo = await entry.peers.send_request(keeper.endpoint, Heartbeat())
            checks.append(echo == Heartbeat())
            request = AskProbe('stalls', 'stalls-1')
            answer = await entry.peers.send_request(keeper.endpoint, request)
            checks.append(answer == ProbeAnswer(True))
        await client.close()
        await deployment.close()
        return checks

    assert all(run_virtual(main))
