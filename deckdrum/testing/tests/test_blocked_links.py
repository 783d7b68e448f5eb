"""A blocked link hangs, delivers late or resets, as a partition does."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
import pytest

from deckdrum.testing.blocked_links import (
    BOTH_DIRECTIONS,
    BlockedLinkFile,
    Direction,
    dial_unless_blocked,
    encode_blocked_links,
)
from deckdrum.utils import Address, Listener, Stream
from deckdrum.utils.virtualtime import run_virtual

TO = frozenset((Direction.TO,))
FROM = frozenset((Direction.FROM,))


class Link:
    """A link to a server that echoes, and what that server received."""

    def __init__(self, path: Path) -> None:
        self.received: list[bytes] = []
        self.listener = Listener(Address('127.0.0.1', 0), self._echo)
        self._path = path
        self._links = BlockedLinkFile(path)

    async def connect(self) -> Stream:
        return await dial_unless_blocked(self._links, self.listener.address, 1)

    def block(self, directions: frozenset[Direction]) -> None:
        self._write({str(self.listener.address): directions})

    def open(self) -> None:
        self._write({})

    def _write(self, blocked: dict[str, frozenset[Direction]]) -> None:
        new_path = self._path.with_suffix('.new')
        new_path.write_bytes(encode_blocked_links(blocked))
        new_path.replace(self._path)

    async def _echo(self, stream: Stream) -> None:
        while chunk := await stream.receive():
            self.received.append(chunk)
            await stream.send(chunk)
        self.received.append(b'')


def run_with_link(
    path: Path, scenario: Callable[[Link], Awaitable[None]]
) -> None:
    async def run() -> None:
        link = Link(path / 'links.json')
        await link.listener.start()
        await scenario(link)
        await link.listener.close()

    run_virtual(run)


async def receive_within(stream: Stream, timeout: float) -> bytes | None:
    """Return the next bytes, or None if there are none in time."""
    chunk: bytes | None = await curio.ignore_after(timeout, stream.receive)
    return chunk


def test_open_link_passes_traffic(tmp_path: Path) -> None:
    async def scenario(link: Link) -> None:
        stream = await link.connect()
        await stream.send(b'x')
        assert await receive_within(stream, 0.1) == b'x'
        await stream.close()
        await curio.sleep(0.1)
        assert link.received == [b'x', b'']

    run_with_link(tmp_path, scenario)


@pytest.mark.parametrize('directions', [TO, FROM, BOTH_DIRECTIONS])
def test_new_connection_over_blocked_link_times_out(
    tmp_path: Path, directions: frozenset[Direction]
) -> None:
    async def scenario(link: Link) -> None:
        link.block(directions)
        began = await curio.clock()
        with pytest.raises(ConnectionAbortedError):
            await link.connect()
        assert await curio.clock() - began == pytest.approx(1, abs=0.05)

    run_with_link(tmp_path, scenario)


@pytest.mark.parametrize(
    ('directions', 'arrives'),
    [(TO, False), (FROM, True), (BOTH_DIRECTIONS, False)],
)
def test_open_connection_hangs_and_delivers_late(
    tmp_path: Path, directions: frozenset[Direction], *, arrives: bool
) -> None:
    async def scenario(link: Link) -> None:
        stream = await link.connect()
        link.block(directions)
        await stream.send(b'x')
        assert await receive_within(stream, 2) is None
        assert bool(link.received) is arrives
        link.open()
        assert await receive_within(stream, 0.1) == b'x'
        assert stream.is_idle()

    run_with_link(tmp_path, scenario)


@pytest.mark.parametrize('directions', [TO, FROM])
def test_connection_without_acknowledgement_is_reset(
    tmp_path: Path, directions: frozenset[Direction]
) -> None:
    async def scenario(link: Link) -> None:
        stream = await link.connect()
        link.block(directions)
        began = await curio.clock()
        await stream.send(b'x')
        assert await receive_within(stream, 5) == b''
        assert await curio.clock() - began == pytest.approx(3, abs=0.05)
        with pytest.raises(ConnectionResetError):
            await stream.send(b'y')

    run_with_link(tmp_path, scenario)


@pytest.mark.parametrize(
    ('method', 'expected'),
    [('close', [b'x', b'']), ('abort', [b''])],
)
def test_held_data_arrives_after_close_and_not_after_reset(
    tmp_path: Path,
    method: str,
    expected: list[bytes],
) -> None:
    async def scenario(link: Link) -> None:
        stream = await link.connect()
        link.block(BOTH_DIRECTIONS)
        await stream.send(b'x')
        waiting = await curio.spawn(stream.receive)
        await curio.sleep(0)
        await getattr(stream, method)()
        async with curio.timeout_after(0.1):
            assert await waiting.join() == b''
        link.open()
        await curio.sleep(0.1)
        assert link.received == expected

    run_with_link(tmp_path, scenario)


def test_refusing_link_refuses_and_resets_connections(tmp_path: Path) -> None:
    """The soak had no link that refuses while both processes run."""

    async def scenario(link: Link) -> None:
        stream = await link.connect()
        await stream.send(b'a')
        assert await stream.receive() == b'a'
        link.block(frozenset((Direction.REFUSED,)))
        assert not stream.is_idle()
        with pytest.raises(ConnectionResetError):
            await stream.send(b'b')
        with pytest.raises(ConnectionRefusedError):
            await link.connect()
        link.open()
        other = await link.connect()
        await other.send(b'c')
        assert await other.receive() == b'c'

    run_with_link(tmp_path, scenario)
