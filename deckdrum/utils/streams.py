"""Byte streams over TCP: addresses, connections and listeners."""

import errno
import socket
import struct
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import curio

#: Bytes asked of the kernel in one receive.
RECEIVE_BYTES: Final = 65536
_BACKLOG: Final = 512
#: Bytes without an acknowledgement end a connection after this time, in ms;
#: as long as the databases wait for a far end that is dark.
TCP_USER_TIMEOUT_MS: Final = 3000
#: Silence after which the kernel asks the far end, in seconds.
KEEPALIVE_IDLE_S: Final = 5
#: Wait after a failed accept (descriptors used up), in seconds.
_ACCEPT_RETRY_DELAY_S: Final = 0.05


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a TCP port.

    Examples
    --------
    >>> Address.parse('127.0.0.1:5432')
    Address(host='127.0.0.1', port=5432)
    >>> str(Address('127.0.0.1', 80))
    '127.0.0.1:80'
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Read an address of the form ``host:port``.

        Raises
        ------
        ValueError
            If `text` has no port or the port is no number.
        """
        host, colon, port = text.rpartition(':')
        if not colon or not host or not port.isdecimal():
            raise ValueError(f'{text!r} is no address, expected host:port')
        return cls(host, int(port))


class ByteStream(ABC):
    """A two-way sequence of bytes."""

    @abstractmethod
    def is_idle(self) -> bool:
        """Return whether the stream is open and has nothing to receive."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the next bytes, or ``b''`` once the peer has closed."""

    @abstractmethod
    async def send(self, payload: bytes) -> None:
        """Send all of `payload`.

        Raises
        ------
        ConnectionError
            If the stream is closed.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the stream; a second call does nothing."""


class Stream(ByteStream):
    """One TCP connection.

    Parameters
    ----------
    sock : curio.io.Socket
        The connected socket.
    raw : socket.socket
        The non-blocking socket below it.
    """

    __slots__ = ('_raw', '_sock', 'closed')

    def __init__(self, sock: Any, raw: socket.socket) -> None:
        self._sock = sock
        self._raw = raw
        self.closed = False

    def is_idle(self) -> bool:
        """Return whether the stream is open and has nothing to receive."""
        if self.closed:
            return False
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def receive(self) -> bytes:
        """Return the next bytes, or ``b''`` once the peer has closed.

        A reset by the peer counts as a close, and what comes while the stream
        is closed here is dropped.
        """
        if self.closed:
            return b''
        try:
            chunk: bytes = await self._sock.recv(RECEIVE_BYTES)
        except OSError:
            return b''
        # What arrived while the stream was being closed gets no answer any
        # more: a statement among it must not be run.
        return b'' if self.closed else chunk

    async def send(self, payload: bytes) -> None:
        """Send all of `payload`.

        Raises
        ------
        ConnectionError
            If the connection is closed.
        """
        if self.closed:
            raise ConnectionResetError('the stream is closed')
        try:
            await self._sock.sendall(payload)
        except ConnectionError:
            raise
        except OSError as error:
            raise ConnectionResetError(str(error)) from error

    async def close(self) -> None:
        """Close the connection; a second call does nothing."""
        if self.closed:
            return
        self.closed = True
        try:
            # Wakes a task of ours that still waits on the socket.
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Not connected any more: whoever waits is woken by that.
            await curio.sleep(0)
        await self._wait_until_unwatched()
        await self._sock.close()

    async def abort(self) -> None:
        """Reset the connection: bytes still on their way are dropped."""
        if not self.closed:
            linger = struct.pack('ii', 1, 0)
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.closed = True
            try:
                # Wakes a task of ours that waits on the socket; sends nothing.
                await self._sock.shutdown(socket.SHUT_RD)
            except OSError:
                # Not connected any more: whoever waits is woken by that.
                await curio.sleep(0)
            await self._wait_until_unwatched()
            await self._sock.close()

    async def _wait_until_unwatched(self) -> None:
        """Let tasks that wait on the socket leave it before it is closed.

        The kernel's selector must not keep a closed descriptor: the next
        socket with the same number would stop the whole process.  A task
        that has been woken and has not run yet keeps it too.
        """
        kernel = await curio.traps._get_kernel()
        watched = kernel._selector.get_map()
        while self._raw.fileno() in watched:
            await curio.sleep(0)


async def dial(address: Address, timeout: float) -> Stream:
    """Open a connection.

    Parameters
    ----------
    address : Address
        Where to connect.
    timeout : float
        Longest wait in seconds.

    Returns
    -------
    Stream
        The open connection.

    Raises
    ------
    ConnectionRefusedError
        If nobody listens there.
    ConnectionAbortedError
        If nobody answers in time, or the address cannot be reached.
    """
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    _set_socket_options(raw)
    sock = curio.io.Socket(raw)
    try:
        async with curio.timeout_after(timeout):
            await sock.connect((address.host, address.port))
    except ConnectionRefusedError:
        # Certain: nobody listens there now.
        await sock.close()
        raise
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise ConnectionAbortedError(
            errno.ECONNABORTED,
            f'cannot connect to {address}: {error!r}',
        ) from error
    except curio.CancelledError:
        await sock.close()
        raise
    return Stream(sock, raw)


def _set_socket_options(raw: socket.socket) -> None:
    """Send at once, and notice a peer that is gone without a word."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        TCP_USER_TIMEOUT_MS,
    )
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)


class Listener:
    """A listening TCP socket with one task for each connection.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 takes a free one.
    serve : callable
        Coroutine function called with the `Stream` of each connection.
    """

    def __init__(
        self,
        address: Address,
        serve: Callable[[Stream], Awaitable[None]],
    ) -> None:
        self.address = address
        self._serve = serve
        self._sock: Any = None
        self._accept_task: Any = None
        self._open: dict[Stream, Any] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._open)

    async def start(self) -> None:
        """Bind the address and begin to accept."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind((self.address.host, self.address.port))
        raw.listen(_BACKLOG)
        self.address = Address(*raw.getsockname())
        self._sock = curio.io.Socket(raw)
        self._accept_task = await curio.spawn(self._accept, daemon=True)

    async def stop_accepting(self) -> None:
        """Refuse new connections; open ones go on."""
        if self._sock is None:
            return
        await self._accept_task.cancel()
        await self._sock.close()
        self._sock = None

    async def close(self) -> None:
        """Refuse new connections and end the open ones."""
        await self.stop_accepting()
        for stream, task in list(self._open.items()):
            await stream.close()
            await task.cancel(blocking=False)

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self._sock.accept()
            except OSError:
                await curio.sleep(_ACCEPT_RETRY_DELAY_S)
                continue
            _set_socket_options(sock._socket)
            stream = Stream(sock, sock._socket)
            task = await curio.spawn(self._run, stream, daemon=True)
            self._open[stream] = task

    async def _run(self, stream: Stream) -> None:
        try:
            await self._serve(stream)
        except ConnectionError:
            return
        finally:
            self._open.pop(stream, None)
            await stream.close()
