"""Small HTTP/1.1 client and server on curio, with `h11` as the codec."""

import json
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import parse_qsl, urlsplit

import curio
import h11

from deckdrum.utils.streams import Address, Listener, Stream, dial

_TEXT_CONTENT_TYPE: Final = 'text/plain; charset=utf-8'
#: Above the 1 MB that a value in the platform's store may have.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request.

    Header names are in lower case; `query` holds the decoded parameters.
    """

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Reply:
    """One HTTP reply."""

    status: int
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_json(cls, document: Any, status: int = 200) -> 'Reply':
        """Return a reply with `document` as its JSON body."""
        return cls(
            status,
            json.dumps(document).encode(),
            {'content-type': 'application/json'},
        )

    @classmethod
    def from_text(cls, text: str, status: int = 200) -> 'Reply':
        """Return a reply with `text` as its body."""
        return cls(status, text.encode(), {'content-type': _TEXT_CONTENT_TYPE})

    def read_json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


class RequestNotSentError(ConnectionAbortedError):
    """No byte of the request was sent, so it has no effect."""


class HttpClient:
    """Sends requests to one address over persistent connections.

    Parameters
    ----------
    address : Address
        The server.
    connect_timeout : float
        Timeout for opening a connection, in seconds.
    """

    def __init__(self, address: Address, connect_timeout: float = 1.0) -> None:
        self.address = address
        self._connect_timeout = connect_timeout
        self._idle: list[tuple[Stream, h11.Connection]] = []

    async def call(
        self,
        request: Request,
        timeout: float,
        send_before: float = math.inf,
    ) -> Reply:
        """Send a request and return its reply.

        A call that fails or is cancelled resets the connection, which discards
        what has not arrived.  The server may still read what has.

        Parameters
        ----------
        request : Request
            The request; `path` must include the encoded query.
        timeout : float
            Timeout for the reply, in seconds.
        send_before : float
            Time after which the request is not sent any more, in kernel
            seconds.

        Raises
        ------
        ConnectionRefusedError
            If nothing listens on the address.
        RequestNotSentError
            If the server cannot be connected to, or only after `send_before`.
        ConnectionError
            If the server does not reply in time; it may have processed the
            request.
        """
        stream, codec = await self._acquire()
        if send_before < math.inf:
            stream.limit_delivery(timeout)
        try:
            async with curio.timeout_after(timeout):
                reply = await self._exchange(
                    stream, codec, request, send_before
                )
        except (curio.TaskTimeout, h11.ProtocolError) as error:
            await stream.abort()
            raise ConnectionAbortedError(
                f'no reply from {self.address}: {error!r}, {codec.states}',
            ) from error
        except (ConnectionError, curio.CancelledError):
            await stream.abort()
            raise
        await self._release(stream, codec)
        return reply

    async def close(self) -> None:
        """Close the idle connections."""
        for stream, _ in self._idle:
            await stream.close()
        self._idle.clear()

    async def _acquire(self) -> tuple[Stream, h11.Connection]:
        while self._idle:
            stream, codec = self._idle.pop()
            if stream.is_idle():
                return stream, codec
            await stream.close()
        try:
            stream = await dial(self.address, self._connect_timeout)
        except ConnectionAbortedError as error:
            raise RequestNotSentError(str(error)) from error
        return stream, h11.Connection(h11.CLIENT)

    async def _release(self, stream: Stream, codec: h11.Connection) -> None:
        try:
            codec.start_next_cycle()
        except h11.LocalProtocolError:
            await stream.close()
            return
        self._idle.append((stream, codec))

    async def _exchange(
        self,
        stream: Stream,
        codec: h11.Connection,
        request: Request,
        send_before: float,
    ) -> Reply:
        headers = {
            'host': str(self.address),
            'content-length': str(len(request.body)),
            **request.headers,
        }
        request_head = h11.Request(
            method=request.method,
            target=request.path,
            headers=list(headers.items()),
        )
        payload = codec.send(request_head) or b''
        payload += codec.send(h11.Data(data=request.body)) or b''
        payload += codec.send(h11.EndOfMessage()) or b''
        late = await curio.clock() - send_before
        if late >= 0:
            raise RequestNotSentError(
                f'connected to {self.address} {late:.3f} s too late',
            )
        await stream.send(payload)
        head, body = await _read_message(stream, codec)
        return Reply(head.status_code, body, _decode_headers(head.headers))


class HttpServer:
    """Answers HTTP requests on one address.

    Parameters
    ----------
    address : Address
        Where to listen.
    respond : callable
        Coroutine function that returns the `Reply` to a `Request`; None
        closes the connection without a reply.
    """

    def __init__(
        self,
        address: Address,
        respond: Callable[[Request], Awaitable[Reply | None]],
    ) -> None:
        self._respond = respond
        self._listener = Listener(address, self._serve)

    @property
    def address(self) -> Address:
        """The address on which the server listens."""
        return self._listener.address

    async def start(self) -> None:
        """Start listening."""
        await self._listener.start()

    async def close(self) -> None:
        """Stop listening and close the open connections."""
        await self._listener.close()

    async def _serve(self, stream: Stream) -> None:
        codec = h11.Connection(h11.SERVER)
        while True:
            try:
                head, body = await _read_message(stream, codec)
            except (ConnectionError, h11.ProtocolError):
                return
            reply = await self._respond(_decode_request(head, body))
            if reply is None:
                return
            await stream.send(_encode_reply(codec, reply))
            if codec.our_state is not h11.DONE:
                return
            codec.start_next_cycle()


def _decode_request(head: Any, body: bytes) -> Request:
    target = urlsplit(head.target.decode())
    return Request(
        head.method.decode(),
        target.path,
        dict(parse_qsl(target.query)),
        _decode_headers(head.headers),
        body,
    )


def _encode_reply(codec: h11.Connection, reply: Reply) -> bytes:
    headers = {'content-length': str(len(reply.body)), **reply.headers}
    head = h11.Response(
        status_code=reply.status,
        headers=list(headers.items()),
    )
    payload = codec.send(head) or b''
    payload += codec.send(h11.Data(data=reply.body)) or b''
    payload += codec.send(h11.EndOfMessage()) or b''
    return payload


def _decode_headers(headers: Any) -> dict[str, str]:
    return {name.decode(): text.decode() for name, text in headers}


async def _read_message(
    stream: Stream,
    codec: h11.Connection,
) -> tuple[Any, bytes]:
    head: Any = None
    body = bytearray()
    while True:
        event = await _next_event(stream, codec)
        if isinstance(event, h11.EndOfMessage):
            return head, bytes(body)
        if isinstance(event, h11.Data):
            body.extend(event.data)
            _check_size(len(body))
        else:
            head = event


def _check_size(size: int) -> None:
    if size > MAX_BODY_BYTES:
        raise ConnectionAbortedError(
            f'HTTP body has {size} bytes or more, limit is {MAX_BODY_BYTES}',
        )


async def _next_event(stream: Stream, codec: h11.Connection) -> Any:
    event = codec.next_event()
    while event is h11.NEED_DATA:
        codec.receive_data(await stream.receive())
        event = codec.next_event()
    if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
        raise ConnectionResetError('the peer closed the connection')
    return event
