"""The stand-in for a database group while it has no primary."""

import curio

from deckdrum.testing.nodes import Deployment, run_scenario


def test_rejoining_server_waits_until_there_is_a_primary() -> None:
    """`rejoin` must not fail between one term and the next."""

    async def scenario(deployment: Deployment) -> None:
        old, back, new = deployment.group.servers.values()
        await back.crash()
        old.role = 'replica'
        await back.start()
        rejoining = await curio.spawn(deployment.group.rejoin, back)
        await curio.sleep(0.1)
        assert not rejoining.terminated
        new.log = list(old.log)
        await new.become_primary(2)
        await rejoining.join()
        assert back.term == 2

    run_scenario(scenario)
