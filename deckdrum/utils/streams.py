"""Byte streams over TCP: addresses, connections and listeners."""

import errno
import socket
import struct
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import curio

#: Buffer size of one receive call.
RECEIVE_BYTES: Final = 65536
_BACKLOG: Final = 512
_MS_PER_S: Final = 1000
#: Time after which a connection with unacknowledged data is closed; the same as
#: the timeout of the database servers.
TCP_USER_TIMEOUT_MS: Final = 3000
#: Idle time before the first keepalive probe, and interval between probes.
KEEPALIVE_IDLE_S: Final = 5
#: Delay after a failed accept, for instance without free descriptors.
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
        """Parse an address of the form ``host:port``.

        Raises
        ------
        ValueError
            If the host or the port is missing, or the port is not a number.
        """
        host, colon, port = text.rpartition(':')
        if not colon or not host or not port.isdecimal():
            raise ValueError(f'{text!r} is not an address, expected host:port')
        return cls(host, int(port))


class ByteStream(ABC):
    """A bidirectional byte stream."""

    @abstractmethod
    def is_idle(self) -> bool:
        """Return whether the stream is open and has no data to receive."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the next bytes, or ``b''`` once the peer has closed."""

    @abstractmethod
    async def send(self, payload: bytes) -> None:
        """Send all of `payload`; raise `ConnectionError` if closed."""

    @abstractmethod
    async def close(self) -> None:
        """Close the stream; does nothing if it is closed already."""


class Stream(ByteStream):
    """A TCP connection.

    Parameters
    ----------
    sock : curio.io.Socket
        The connected socket.
    raw : socket.socket
        The non-blocking socket that `sock` wraps.
    """

    __slots__ = ('_raw', '_sock', 'closed')

    def __init__(self, sock: Any, raw: socket.socket) -> None:
        self._sock = sock
        self._raw = raw
        self.closed = False

    def is_idle(self) -> bool:
        """Return whether the stream is open and has no data to receive."""
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

        A reset by the peer is treated as a close.  Data that arrives while the
        stream is being closed locally is dropped.
        """
        if self.closed:
            return b''
        try:
            chunk: bytes = await self._sock.recv(RECEIVE_BYTES)
        except OSError:
            return b''
        # A statement that arrived during the close cannot be answered any more
        # and must not be executed.
        return b'' if self.closed else chunk

    async def send(self, payload: bytes) -> None:
        """Send all of `payload`; raise `ConnectionError` if closed."""
        if self.closed:
            raise ConnectionResetError('the stream is closed')
        try:
            await self._sock.sendall(payload)
        except ConnectionError:
            raise
        except OSError as error:
            raise ConnectionResetError(str(error)) from error

    async def close(self) -> None:
        """Close the connection; does nothing if it is closed already."""
        if self.closed:
            return
        self.closed = True
        try:
            # Wakes tasks that wait for data on this socket.
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Already disconnected, which wakes the waiting tasks.
            await curio.sleep(0)
        await self._wait_until_unwatched()
        await self._sock.close()

    def limit_delivery(self, timeout: float) -> None:
        """Discard sent data that the peer does not acknowledge in time.

        The kernel does so also while this process is stopped, and when it ends
        without closing the connection.

        Parameters
        ----------
        timeout : float
            Longest time that sent data waits for the peer, in seconds.
        """
        self._raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(timeout * _MS_PER_S),
        )
        self._reset_on_close()

    async def abort(self) -> None:
        """Reset the connection and discard data in flight."""
        if not self.closed:
            self._reset_on_close()
            self.closed = True
            try:
                # Wakes tasks that wait for data, without sending a FIN.
                await self._sock.shutdown(socket.SHUT_RD)
            except OSError:
                # Already disconnected, which wakes the waiting tasks.
                await curio.sleep(0)
            await self._wait_until_unwatched()
            await self._sock.close()

    def _reset_on_close(self) -> None:
        linger = struct.pack('ii', 1, 0)
        self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _wait_until_unwatched(self) -> None:
        """Wait until the curio kernel has unregistered the descriptor.

        A closed descriptor that is still registered with the selector crashes
        the kernel when a new socket gets the same number.  It also stays
        registered until a task that has been woken has run.
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
        The address of the peer.
    timeout : float
        Timeout in seconds.

    Returns
    -------
    Stream
        The open connection.

    Raises
    ------
    ConnectionRefusedError
        If nothing listens on the address.
    ConnectionAbortedError
        If the attempt times out or the address is unreachable.
    """
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    _set_socket_options(raw)
    sock = curio.io.Socket(raw)
    try:
        async with curio.timeout_after(timeout):
            await sock.connect((address.host, address.port))
    except ConnectionRefusedError:
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
    """Disable Nagle's algorithm and detect peers that vanish silently."""
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
    """A listening TCP socket that runs one task for each connection.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 selects a free port.
    serve : callable
        Coroutine function that handles the `Stream` of a connection.
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
        self._connection_tasks: dict[Stream, Any] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connection_tasks)

    async def start(self) -> None:
        """Bind the address and start accepting connections."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind((self.address.host, self.address.port))
        raw.listen(_BACKLOG)
        self.address = Address(*raw.getsockname())
        self._sock = curio.io.Socket(raw)
        self._accept_task = await curio.spawn(self._accept, daemon=True)

    async def stop_accepting(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._sock is None:
            return
        await self._accept_task.cancel()
        await self._sock.close()
        self._sock = None

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        await self.stop_accepting()
        for stream, task in list(self._connection_tasks.items()):
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
            self._connection_tasks[stream] = task

    async def _run(self, stream: Stream) -> None:
        try:
            await self._serve(stream)
        except ConnectionError:
            return
        finally:
            self._connection_tasks.pop(stream, None)
            await stream.close()
