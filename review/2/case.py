"""A machine is stopped by SIGTERM while it sends long answers.

Sessions read answers of 6 MB over links of 32 Mbit/s, which takes 1.5 s.
"""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from deployment import (  # noqa: E402
    Deployment,
    build_route,
    has_trouble,
    run_case,
)

SESSIONS = 8
ROW_BYTES, ROW_COUNT = 1_000_000, 6
#: What a session's link carries: 32 Mbit/s.
CHUNK_BYTES, BYTES_PER_S = 65536, 4_000_000
RECEIVE_BUFFER_BYTES = 131072
#: Requests are sent at most this long after the SIGTERM.
LAST_REQUEST_S = 2.6
GRACE_S = 6
TIMEOUT_S = 2.0


class SlowSession:
    """A session over a link with little bandwidth."""

    def __init__(self, deployment, number):
        self.name = f'u{number}'
        self._deployment = deployment
        self._sock = socket.socket()
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._sock.setblocking(False)
        self._loop = asyncio.get_running_loop()

    async def connect(self, address):
        """Open the session."""
        await self._loop.sock_connect(self._sock, address)
        await self._send(f'STARTUP tiles {self.name}')
        return await self._receive_until_ready()

    async def read(self, thing):
        """Send a read; return whether the whole answer arrived."""
        request = f'{self._deployment.random.getrandbits(64):016x}'
        record = self._deployment.record
        record.write('SENT', self.name, request, f'READ {thing}')
        began = time.monotonic()
        await self._send(f'QUERY {request} READ {thing}')
        size, end = await self._receive_until_ready()
        took = time.monotonic() - began
        is_whole = end.startswith(b'READY ')
        record.write(
            'ANSWER' if is_whole else 'CUT', self.name, request,
            f'{size} bytes in {took:.3f} s, at the end {end[:60]!r}',
        )
        return request, is_whole, took, size

    def close(self):
        """Close the session."""
        self._sock.close()

    async def _send(self, text):
        await self._loop.sock_sendall(self._sock, f'{text}\r\n'.encode())

    async def _receive_until_ready(self):
        """Return the size of an answer, and its last line if it is whole."""
        size, tail = 0, b''
        began = time.monotonic()
        while True:
            try:
                chunk = await self._loop.sock_recv(self._sock, CHUNK_BYTES)
            except ConnectionError:
                return size, b'(reset)'
            if not chunk:
                return size, b'(closed)'
            size += len(chunk)
            tail = (tail + chunk)[-200:]
            lines = tail.split(b'\r\n')
            if len(lines) > 1 and not lines[-1] and lines[-2][:6] == b'READY ':
                return size, lines[-2]
            ahead = size / BYTES_PER_S - (time.monotonic() - began)
            if ahead > 0:
                await asyncio.sleep(ahead)


async def use_session(deployment, number, until, results):
    """Read again and again, with pauses."""
    session = SlowSession(deployment, number)
    await session.connect(deployment.nodes[0].clients)
    await asyncio.sleep(deployment.random.uniform(0, 1))
    while time.monotonic() < until:
        sent_at = time.monotonic()
        result = await session.read(number)
        results.append((sent_at, *result))
        if not result[1]:
            break
        await asyncio.sleep(deployment.random.uniform(0.1, 0.5))
    session.close()


async def play(deployment):
    """Stop one machine while its sessions read."""
    results = []
    began = time.monotonic()
    stop_at = began + 4
    until = stop_at + LAST_REQUEST_S
    sessions = [
        asyncio.create_task(use_session(deployment, each, until, results))
        for each in range(SESSIONS)
    ]
    await asyncio.sleep(stop_at - time.monotonic())
    if has_trouble():
        deployment.record.write('TROUBLE', 'SIGTERM', deployment.nodes[0].name)
        deployment.nodes[0].send(signal.SIGTERM)
    await asyncio.wait(sessions, timeout=GRACE_S + 2)
    ran = {run[0] for run in deployment.group.runs}
    lost = []
    for sent_at, request, is_whole, took, size in results:
        if is_whole or request not in ran or size == 0:
            # A request that the process may not have read is not counted.
            continue
        if took >= TIMEOUT_S:
            continue
        lost.append(request)
        deployment.record.write(
            'BROKEN', f'{request}, sent {sent_at - stop_at:.3f} s after the '
            f'SIGTERM, was cut after {size} bytes and {took:.3f} s',
        )
    line = f'{len(results)} reads, {len(lost)} cut within their answer'
    deployment.record.write('RESULT', line)
    print(line)
    return 1 if lost else 0


run_case(
    FOLDER,
    Deployment(
        FOLDER,
        nodes=3,
        routes=[build_route('tiles', 'bounded', maxStalenessMs=1500,
                            timeoutMs=round(TIMEOUT_S * 1000))],
        work_s=0.015,
        row_bytes=ROW_BYTES,
        row_count=ROW_COUNT,
    ),
    play,
)
