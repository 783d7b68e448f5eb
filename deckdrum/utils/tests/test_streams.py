"""Tests that closing a stream unregisters its descriptor."""

import curio

from deckdrum.utils import Address, Listener, Stream, dial
from deckdrum.utils.virtualtime import run_virtual


async def _echo(stream: Stream) -> None:
    while chunk := await stream.receive():
        await stream.send(chunk)


async def _receive(stream: Stream) -> bytes:
    return await stream.receive()


def test_close_while_another_task_receives() -> None:
    async def main() -> list[bytes]:
        listener = Listener(Address('127.0.0.1', 0), _echo)
        await listener.start()
        received = []
        for _ in range(20):
            stream = await dial(listener.address, 1)
            receiver = await curio.spawn(_receive, stream)
            await curio.sleep(0)
            await stream.close()
            # The next socket reuses the same descriptor.
            other = await dial(listener.address, 1)
            await other.send(b'x')
            received.append(await other.receive())
            assert await receiver.join() == b''
            await other.close()
        await listener.close()
        return received

    assert set(run_virtual(main)) == {b'x'}


def test_close_before_a_woken_task_has_run() -> None:
    async def main() -> bytes:
        listener = Listener(Address('127.0.0.1', 0), _echo)
        await listener.start()
        stream = await dial(listener.address, 1)
        receiver = await curio.spawn(_receive, stream)
        await curio.sleep(0)
        await stream.send(b'wakes')
        await curio.sleep(0)
        await stream.close()
        other = await dial(listener.address, 1)
        await other.send(b'y')
        answer = await other.receive()
        await receiver.join()
        await other.close()
        await listener.close()
        return answer

    assert run_virtual(main) == b'y'


def test_a_reset_peer_reads_as_closed() -> None:
    async def leave(stream: Stream) -> None:
        await stream.close()

    async def main() -> bytes:
        listener = Listener(Address('127.0.0.1', 0), leave)
        await listener.start()
        stream = await dial(listener.address, 1)
        answer = await stream.receive()
        await stream.close()
        await stream.close()
        await listener.close()
        return answer

    assert run_virtual(main) == b''


def test_abort_while_another_task_receives() -> None:
    async def main() -> bytes:
        listener = Listener(Address('127.0.0.1', 0), _echo)
        await listener.start()
        stream = await dial(listener.address, 1)
        receiver = await curio.spawn(_receive, stream)
        await curio.sleep(0)
        # Fails if the abort never returns.
        async with curio.timeout_after(20):
            await stream.abort()
            received: bytes = await receiver.join()
        await listener.close()
        return received

    assert curio.run(main) == b''


def test_data_received_during_close_is_dropped() -> None:
    """The caller of such a statement can no longer be answered."""

    async def main() -> bytes:
        accepted: list[Stream] = []

        async def keep(stream: Stream) -> None:
            accepted.append(stream)
            await curio.sleep(5)

        listener = Listener(Address('127.0.0.1', 0), keep)
        await listener.start()
        peer = await dial(listener.address, 1)
        while not accepted:
            await curio.sleep(0.01)
        stream = accepted[0]
        receiver = await curio.spawn(_receive, stream)
        await curio.sleep(0.01)
        assert stream.is_idle()
        # The data arrives before the receiver task has run.
        peer._raw.send(b'QUERY 1 READ a\r\n')
        assert not stream.is_idle()
        await stream.close()
        received: bytes = await receiver.join()
        await peer.close()
        await listener.close()
        return received

    assert run_virtual(main) == b''
