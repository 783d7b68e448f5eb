"""Closing a stream must never leave its descriptor in the selector."""

import curio

from deckdrum.utils import Address, Listener, Stream, dial
from deckdrum.utils.virtualtime import run_virtual


async def _echo(stream: Stream) -> None:
    while chunk := await stream.receive():
        await stream.send(chunk)


async def _wait_for_bytes(stream: Stream) -> bytes:
    return await stream.receive()


def test_closing_while_another_task_waits() -> None:
    async def main() -> list[bytes]:
        listener = Listener(Address('127.0.0.1', 0), _echo)
        await listener.start()
        found = []
        for _ in range(20):
            stream = await dial(listener.address, 1)
            waiting = await curio.spawn(_wait_for_bytes, stream)
            await curio.sleep(0)
            await stream.close()
            # The next socket takes the same descriptor at once.
            other = await dial(listener.address, 1)
            await other.send(b'x')
            found.append(await other.receive())
            assert await waiting.join() == b''
            await other.close()
        await listener.close()
        return found

    assert set(run_virtual(main)) == {b'x'}


def test_closing_while_a_woken_task_has_not_run() -> None:
    async def main() -> bytes:
        listener = Listener(Address('127.0.0.1', 0), _echo)
        await listener.start()
        stream = await dial(listener.address, 1)
        waiting = await curio.spawn(_wait_for_bytes, stream)
        await curio.sleep(0)
        await stream.send(b'wakes')
        await curio.sleep(0)
        await stream.close()
        other = await dial(listener.address, 1)
        await other.send(b'y')
        answer = await other.receive()
        await waiting.join()
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


def test_aborting_while_another_task_waits() -> None:
    async def main() -> bytes:
        listener = Listener(Address('127.0.0.1', 0), _echo)
        await listener.start()
        stream = await dial(listener.address, 1)
        waiting = await curio.spawn(_wait_for_bytes, stream)
        await curio.sleep(0)
        # Without an end this turned in the kernel for ever.
        async with curio.timeout_after(20):
            await stream.abort()
            found: bytes = await waiting.join()
        await listener.close()
        return found

    assert curio.run(main) == b''


def test_what_comes_while_a_stream_is_closed_is_not_read() -> None:
    """It could be run for a caller to whom no answer can be sent any more."""

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
        waiting = await curio.spawn(_wait_for_bytes, stream)
        await curio.sleep(0.01)
        assert stream.is_idle()
        # The peer's bytes arrive before the task that waits has run.
        peer._raw.send(b'QUERY 1 READ a\r\n')
        assert not stream.is_idle()
        await stream.close()
        found: bytes = await waiting.join()
        await peer.close()
        await listener.close()
        return found

    assert run_virtual(main) == b''
