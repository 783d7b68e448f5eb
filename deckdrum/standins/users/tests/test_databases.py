"""The stand-in of a group while nobody leads it."""

import curio

from deckdrum.testing.nodes import Deployment, play


def test_server_that_comes_back_while_nobody_leads_waits_for_a_leader() -> None:
    """A soak (seed 816) ended here, between one term and the next."""

    async def scenario(deployment: Deployment) -> None:
        old, back, new = deployment.group.servers.values()
        await back.crash()
        old.role = 'replica'
        await back.start()
        rejoining = await curio.spawn(deployment.group.rejoin, back)
        await curio.sleep(0.1)
        assert not rejoining.terminated
        new.log = list(old.log)
        await new.lead(2)
        await rejoining.join()
        assert back.term == 2

    play(scenario)
