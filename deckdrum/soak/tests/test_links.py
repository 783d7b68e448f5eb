"""Delay, blocking and reset of links, in virtual time."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from deckdrum.soak.links import FaultLink, LinkState
from deckdrum.utils import Address, Listener, Stream, dial
from deckdrum.utils.virtualtime import run_virtual

_Scenario = Callable[[FaultLink, Stream], Awaitable[None]]


async def _echo(stream: Stream) -> None:
    while chunk := await stream.receive():
        await stream.send(chunk)


async def _run_scenario(scenario: _Scenario) -> None:
    far = Listener(Address('127.0.0.1', 0), _echo)
    await far.start()
    link = FaultLink(far.address)
    await link.start()
    stream = await dial(link.address, 1)
    await scenario(link, stream)
    await stream.close()
    await link.close()
    await far.close()


async def _ask(stream: Stream, timeout: float) -> bytes:
    await stream.send(b'x')
    answer = b''
    async with curio.ignore_after(timeout):
        answer = await stream.receive()
    return answer


def test_open_link_relays_traffic() -> None:
    async def scenario(link: FaultLink, stream: Stream) -> None:
        assert await _ask(stream, 0.1) == b'x'

    run_virtual(_run_scenario, scenario)


@pytest.mark.parametrize('state', [LinkState.ONE_WAY, LinkState.SILENT])
def test_blocked_link_delivers_after_it_is_reopened(state: LinkState) -> None:
    async def scenario(link: FaultLink, stream: Stream) -> None:
        link.state = state
        assert await _ask(stream, 5.0) == b''
        link.state = LinkState.OPEN
        assert await stream.receive() == b'x'

    run_virtual(_run_scenario, scenario)


def test_slow_link_delays_both_directions() -> None:
    async def scenario(link: FaultLink, stream: Stream) -> None:
        link.state = LinkState.SLOW
        link.delay = 0.5
        began = await curio.clock()
        assert await _ask(stream, 5.0) == b'x'
        assert await curio.clock() - began >= 2 * link.delay

    run_virtual(_run_scenario, scenario)


def test_reset_closes_open_connections() -> None:
    async def scenario(link: FaultLink, stream: Stream) -> None:
        await _ask(stream, 0.1)
        await link.reset()
        assert await stream.receive() == b''

    run_virtual(_run_scenario, scenario)
