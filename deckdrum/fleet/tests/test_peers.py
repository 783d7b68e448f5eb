"""Questions to a peer that also serves channels."""

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.fleet.membership import rank_keepers
from deckdrum.fleet.messages import (
    AskProbe,
    Heartbeat,
    ProbeAnswer,
)
from deckdrum.utils.virtualtime import run_virtual


def test_questions_are_answered_after_channels_were_kept() -> None:
    async def main() -> list[bool]:
        deployment = Deployment(Layout(services=('stalls',)))
        await deployment.start()
        ranked = rank_keepers('stalls', deployment.proxies)
        entry = deployment.proxies[ranked[2]]
        keeper = deployment.proxies[ranked[0]].membership.own
        client = await deployment.connect(entry.name)
        found = []
        for _ in range(3):
            await client.run('SELECT 1')
            beat = await entry.peers.ask(keeper.endpoint, Heartbeat())
            found.append(beat == Heartbeat())
            question = AskProbe('stalls', 'stalls-1')
            answer = await entry.peers.ask(keeper.endpoint, question)
            found.append(answer == ProbeAnswer(True))
        await client.close()
        await deployment.close()
        return found

    assert all(run_virtual(main))
