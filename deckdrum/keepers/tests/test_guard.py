"""A batch is given up when its database is gone, and not before."""

from typing import Any

import curio
import pytest

from deckdrum.keepers.relay import RelayResult
from deckdrum.keepers.sessions import KeeperSession
from deckdrum.utils.virtualtime import run_virtual


class SilentKeeper:
    """A keeper whose probes are not answered."""

    async def has_lost(self, route: Any, *, is_heard: bool) -> bool:
        """Tell that the database is lost unless its answer goes on."""
        return not is_heard


class SteadyRelay:
    """A relay that receives a frame every `pause` seconds for 5 seconds."""

    def __init__(self, pause: float) -> None:
        self.frames = 0
        self._pause = pause

    async def run(self) -> RelayResult:
        """Receive frames and return the end of the answer."""
        for _ in range(round(5 / self._pause)):
            await curio.sleep(self._pause)
            self.frames += 1
        return RelayResult('I')


def guard(pause: float) -> Any:
    """Run a relay under the guard."""
    session = KeeperSession.__new__(KeeperSession)
    keeper: Any = SilentKeeper()
    relay: Any = SteadyRelay(pause)
    session._keeper = keeper
    route: Any = None
    return run_virtual(session._run_guarded, relay, route)


def test_answer_that_goes_on_is_not_given_up() -> None:
    assert guard(0.2).status == 'I'


def test_silent_database_is_given_up() -> None:
    with pytest.raises(ConnectionResetError):
        guard(2.5)
