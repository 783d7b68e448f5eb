"""A batch is abandoned only if its database stops responding."""

from typing import Any

import curio
import pytest

from deckdrum.keepers.guard import run_guarded
from deckdrum.keepers.relay import RelayResult
from deckdrum.utils.virtualtime import run_virtual


class UnresponsiveKeeper:
    """Keeper whose database answers no probes."""

    async def is_route_lost(self, route: Any, *, is_receiving: bool) -> bool:
        """Report the route as lost unless answer data is arriving."""
        return not is_receiving


class SteadyRelay:
    """Relay that receives a frame every `interval` seconds for 5 seconds."""

    def __init__(self, interval: float) -> None:
        self.frames = 0
        self._interval = interval

    async def run(self) -> RelayResult:
        """Receive frames and return the result."""
        for _ in range(round(5 / self._interval)):
            await curio.sleep(self._interval)
            self.frames += 1
        return RelayResult('I')


def run_steadily(interval: float) -> Any:
    """Run a relay that receives a frame every `interval` seconds."""
    keeper: Any = UnresponsiveKeeper()
    relay: Any = SteadyRelay(interval)
    route: Any = None
    return run_virtual(run_guarded, keeper, relay, route)


def test_answer_that_goes_on_is_not_given_up() -> None:
    assert run_steadily(0.2).status == 'I'


def test_batch_on_unresponsive_database_is_abandoned() -> None:
    with pytest.raises(ConnectionResetError):
        run_steadily(2.5)
