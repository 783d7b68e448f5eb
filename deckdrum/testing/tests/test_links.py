"""Links that tests can cut."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from deckdrum.testing.links import DROP_TIMEOUT_S, CutKind, CuttableLink
from deckdrum.testing.nodes import allocate_address
from deckdrum.utils import Listener, Stream
from deckdrum.utils.virtualtime import run_virtual


async def _echo(stream: Stream) -> None:
    while chunk := await stream.receive():
        await stream.send(chunk)


def _run(scenario: Callable[[CuttableLink, Stream], Awaitable[None]]) -> None:
    async def main() -> None:
        listener = Listener(allocate_address(), _echo)
        await listener.start()
        link = CuttableLink()
        stream = await link.dial(listener.address, 1)
        await scenario(link, stream)
        await listener.close()

    run_virtual(main)


def test_message_over_a_cut_link_arrives_after_it_is_healed() -> None:
    async def scenario(link: CuttableLink, stream: Stream) -> None:
        await link.cut()
        await stream.send(b'a')
        async with curio.ignore_after(1):
            await stream.receive()
            raise AssertionError('received over a cut link')
        await link.heal()
        assert await stream.receive() == b'a'

    _run(scenario)


def test_connection_of_a_link_that_stays_cut_is_closed() -> None:
    async def scenario(link: CuttableLink, stream: Stream) -> None:
        await link.cut()
        began = await curio.clock()
        assert not await stream.receive()
        assert await curio.clock() - began == pytest.approx(DROP_TIMEOUT_S)

    _run(scenario)


def test_new_connection_over_a_cut_link_times_out() -> None:
    async def scenario(link: CuttableLink, _: Stream) -> None:
        await link.cut()
        began = await curio.clock()
        with pytest.raises(ConnectionAbortedError):
            await link.dial(allocate_address(), 0.3)
        assert await curio.clock() - began == pytest.approx(0.3)
        await link.heal()
        with pytest.raises(ConnectionRefusedError):
            await link.dial(allocate_address(), 0.3)

    _run(scenario)


@pytest.mark.parametrize('kind', [CutKind.RESET, CutKind.REFUSE])
def test_cut_refuses_connections_to_a_process_that_runs(kind: CutKind) -> None:
    """Tests in which only stopped processes refuse miss what runs on."""

    async def scenario(link: CuttableLink, stream: Stream) -> None:
        await link.cut(kind)
        with pytest.raises(ConnectionRefusedError):
            await link.dial(allocate_address(), 0.3)
        if kind is CutKind.RESET:
            assert not await stream.receive()
        else:
            await stream.send(b'a')
            assert await stream.receive() == b'a'

    _run(scenario)
