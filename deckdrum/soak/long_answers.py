"""Nodes stopped while they send answers over links with little bandwidth."""

import socket
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, Final

import curio

from deckdrum.soak.environment import SoakEnvironment
from deckdrum.soak.processes import NodeProcess
from deckdrum.testing.nodes import BOUNDED

#: Small, so that an answer waits in the node and not in the kernel.
_RECEIVE_BUFFER_BYTES: Final = 131_072
_CHUNK_BYTES: Final = 65_536
_MAX_ROW_BYTES: Final = 1_000_000
_MIN_ROW_BYTES: Final = 600_000
_MAX_ROWS: Final = 8
_MIN_ROWS: Final = 5
#: Time that an answer takes to leave; less than the timeout of a statement.
_ANSWER_TIMES_S: Final = (0.4, 1.6)
_STATEMENT_TIMEOUT_S: Final = 2.0
_MAX_PAUSE_S: Final = 0.3
_SESSIONS_PER_NODE: Final = 4
#: Time with all nodes before the first is stopped.
_STEADY_TIME_S: Final = 2.0
_END: Final = b'READY '
_POLL_INTERVAL_S: Final = 0.1


@dataclass(slots=True)
class LongAnswerReport:
    """Numbers of answers, and descriptions of those that broke off."""

    whole: int = 0
    cut: list[str] = field(default_factory=list)


class SlowReader:
    """A caller that reads long answers slowly, from one node.

    Parameters
    ----------
    node : NodeProcess
        The node.
    bandwidth : float
        Bytes per second.
    randomness : random.Random
        Draws the pauses between reads.
    report : LongAnswerReport
        Receives the results.
    """

    def __init__(
        self,
        node: NodeProcess,
        bandwidth: float,
        randomness: Random,
        report: LongAnswerReport,
    ) -> None:
        self._node = node
        self._bandwidth = bandwidth
        self._randomness = randomness
        self._report = report
        self._request_count = 0

    async def run(self) -> None:
        """Read over one connection until the node closes it."""
        raw = socket.socket()
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        raw.setblocking(False)
        sock = curio.io.Socket(raw)
        address = self._node.clients_address
        async with sock:
            await sock.connect((address.host, address.port))
            await sock.sendall(f'STARTUP {BOUNDED} slow\r\n'.encode())
            await self._receive_answer(sock)
            while await self._read(sock):
                await curio.sleep(self._randomness.uniform(0, _MAX_PAUSE_S))

    async def _read(self, sock: Any) -> bool:
        """Read once; return whether the connection is still open."""
        self._request_count += 1
        began = await curio.clock()
        request = f'{id(self):x}{self._request_count:x}'
        try:
            await sock.sendall(f'QUERY {request} READ a\r\n'.encode())
            size, is_whole = await self._receive_answer(sock)
        except OSError:
            # The node had closed the idle connection.
            return False
        seconds = await curio.clock() - began
        self._report.whole += is_whole
        if size and not is_whole and seconds < _STATEMENT_TIMEOUT_S:
            self._report.cut.append(
                f'{self._node.name}: {size} bytes in {seconds:.3f} s'
            )
        return is_whole

    async def _receive_answer(self, sock: Any) -> tuple[int, bool]:
        """Return the size of an answer, and whether its end has come."""
        size = 0
        tail = b''
        began = await curio.clock()
        while not _is_complete(tail):
            try:
                chunk = await sock.recv(_CHUNK_BYTES)
            except OSError:
                return size, False
            if not chunk:
                return size, False
            size += len(chunk)
            tail = (tail + chunk)[-_CHUNK_BYTES:]
            due = began + size / self._bandwidth
            await curio.sleep(max(0, due - await curio.clock()))
        return size, True


def _is_complete(tail: bytes) -> bool:
    last_line = tail.removesuffix(b'\r\n').rpartition(b'\r\n')[2]
    return tail.endswith(b'\r\n') and last_line.startswith(_END)


async def stop_nodes_under_long_answers(
    seed: int, folder: Path
) -> LongAnswerReport:
    """Stop two of three nodes in turn while callers read from all."""
    randomness = Random(seed)
    environment = SoakEnvironment(folder, randomness)
    rows = randomness.randint(_MIN_ROWS, _MAX_ROWS)
    environment.group.padding_rows = rows
    environment.group.padding_row_bytes = randomness.randint(
        _MIN_ROW_BYTES, _MAX_ROW_BYTES
    )
    bandwidth = (
        rows
        * environment.group.padding_row_bytes
        / randomness.uniform(*_ANSWER_TIMES_S)
    )
    report = LongAnswerReport()
    await environment.start(3)
    try:
        for node in environment.nodes:
            while not await node.is_ready():
                await curio.sleep(_POLL_INTERVAL_S)
        for node in environment.nodes * _SESSIONS_PER_NODE:
            reader = SlowReader(node, bandwidth, randomness, report)
            await curio.spawn(reader.run, daemon=True)
        await curio.sleep(_STEADY_TIME_S)
        for node in environment.nodes[:2]:
            await node.stop()
    finally:
        await environment.close()
    return report
