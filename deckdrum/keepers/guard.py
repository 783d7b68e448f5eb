"""Watch over a running batch, which is abandoned once its route is lost."""

from typing import TYPE_CHECKING, Final

import curio

from deckdrum.keepers.relay import AnswerTooLargeError, Relay, RelayResult
from deckdrum.keepers.routing import Route

if TYPE_CHECKING:
    from deckdrum.keepers.core import Keeper

#: Interval at which a running batch checks that its route is still valid.
_LIVENESS_CHECK_INTERVAL_S: Final = 0.5


class CallerDisconnectedError(Exception):
    """The channel to the caller's proxy is closed."""


async def run_guarded(
    keeper: 'Keeper', relay: Relay, route: Route
) -> RelayResult:
    """Run a relay; abort it if its route is lost.

    Raises `ConnectionError` if the connection breaks or the route is lost.
    """
    task = await curio.spawn(_run_relay, relay)
    try:
        while not task.terminated:
            frames_before = relay.frames
            async with curio.ignore_after(_LIVENESS_CHECK_INTERVAL_S):
                await task.wait()
            if task.terminated:
                break
            is_receiving = relay.frames > frames_before
            if await keeper.is_route_lost(route, is_receiving=is_receiving):
                raise ConnectionResetError('the database is gone')
    finally:
        if not task.terminated:
            await task.cancel()
    end: RelayResult | Exception = task.result
    if isinstance(end, Exception):
        raise end
    return end


async def _run_relay(relay: Relay) -> RelayResult | Exception:
    """Run a relay; return its exception instead of raising it."""
    try:
        return await relay.run()
    except (
        ConnectionError,
        AnswerTooLargeError,
        CallerDisconnectedError,
    ) as error:
        return error
