"""Promotion requests near the end of their claim's lifetime."""

import curio
import pytest

from deckdrum.leadership.record_store import CLAIM_LIFETIME_S
from deckdrum.testing.nodes import CURRENT, Deployment, run_scenario
from deckdrum.utils import Address, Stream, dial, http

#: How long the driver is stopped while it connects to the platform.
_STOPPED_S = 4.0


@pytest.mark.parametrize('stopped', [0.5, _STOPPED_S])
def test_driver_stopped_while_connecting_orders_nothing_late(
    monkeypatch: pytest.MonkeyPatch,
    stopped: float,
) -> None:
    """Its claim may have been taken over, and its token be the lower one."""

    async def scenario(deployment: Deployment) -> None:
        ordered_at: list[float] = []
        platform = deployment.group.promotion_address

        async def dial_late(address: Address, timeout: float) -> Stream:
            stream = await dial(address, timeout)
            if address == platform and not ordered_at:
                ordered_at.append(await curio.clock())
                # The connection stands, and the process goes on later.
                await curio.sleep(stopped)
            return stream

        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        monkeypatch.setattr(http, 'dial', dial_late)
        await deployment.group.primary.crash()
        # Nodes notice the loss by their traffic.
        await curio.spawn(client.write_until_done, daemon=True)
        await deployment.wait_for(lambda: bool(ordered_at), CLAIM_LIFETIME_S)
        await curio.sleep(stopped + 0.1)
        is_in_time = stopped < CLAIM_LIFETIME_S
        assert bool(deployment.group.promotions) is is_in_time

    run_scenario(scenario)
