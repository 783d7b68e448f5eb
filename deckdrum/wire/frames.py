"""Framing of protocol messages without decoding their bodies.

Responses are relayed as bytes; `deckdrum.wire.messages` decodes only the
messages whose contents the proxy needs.

References
----------
PostgreSQL documentation, "Message Formats": a message is one tag byte, a
32-bit length that counts itself, and the body.
"""

import struct
from dataclasses import dataclass
from typing import Final

from deckdrum.utils.streams import Stream

_HEADER: Final = struct.Struct('!cI')
_LENGTH_BYTES: Final = 4
_HEADER_BYTES: Final = 5
#: Consumed bytes kept at the front of the buffer before it is compacted.
_COMPACTION_BYTES: Final = 65536


class WireError(ConnectionError):
    """The peer violated the protocol."""


@dataclass(frozen=True, slots=True)
class Frame:
    r"""One message: its tag, and its bytes including the header.

    Examples
    --------
    >>> frame = Frame.build(b'Z', b'I')
    >>> frame.raw
    b'Z\x00\x00\x00\x05I'
    >>> frame.body
    b'I'
    """

    tag: bytes
    raw: bytes

    @property
    def body(self) -> bytes:
        """The message without its header."""
        return self.raw[_HEADER_BYTES:]

    @classmethod
    def build(cls, tag: bytes, body: bytes = b'') -> 'Frame':
        """Return a frame from a tag and a body."""
        return cls(tag, _HEADER.pack(tag, _LENGTH_BYTES + len(body)) + body)


def split_frames(payload: bytes) -> list[Frame]:
    """Split bytes that consist of complete messages into frames.

    Raises
    ------
    WireError
        If the bytes end inside a message.

    Examples
    --------
    >>> [frame.tag for frame in split_frames(Frame.build(b'S').raw * 2)]
    [b'S', b'S']
    """
    frames = []
    start = 0
    while start < len(payload):
        if len(payload) - start < _HEADER_BYTES:
            raise WireError('the payload ends inside a header')
        tag, length = _HEADER.unpack_from(payload, start)
        end = start + 1 + length
        if length < _LENGTH_BYTES or end > len(payload):
            raise WireError('the payload ends inside a message')
        frames.append(Frame(tag, payload[start:end]))
        start = end
    return frames


class FrameReader:
    """Splits a stream into frames.

    Parameters
    ----------
    stream : Stream
        The stream to read.
    max_bytes : int
        Largest message accepted, in bytes.
    """

    __slots__ = ('_buffer', '_max_bytes', '_start', '_stream')

    def __init__(self, stream: Stream, max_bytes: int) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._start = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes received but not yet consumed."""
        return len(self._buffer) - self._start

    async def read_frame(self) -> Frame | None:
        """Return the next message, or None if the stream ends between messages.

        Raises
        ------
        WireError
            If the message is malformed, too large or truncated.
        """
        while True:
            frame = self.pop_frame()
            if frame is not None:
                return frame
            chunk = await self._stream.receive()
            if not chunk:
                if self.buffered_bytes:
                    raise WireError('the stream ended inside a message')
                return None
            self._buffer.extend(chunk)

    def pop_frame(self) -> Frame | None:
        """Return the next message if it is completely buffered, else None."""
        if self.buffered_bytes < _HEADER_BYTES:
            return None
        tag, length = _HEADER.unpack_from(self._buffer, self._start)
        if length < _LENGTH_BYTES or length > self._max_bytes:
            raise WireError(
                f'message {tag!r} declares {length} bytes, '
                f'expected 4 to {self._max_bytes}',
            )
        end = self._start + 1 + length
        if len(self._buffer) < end:
            return None
        raw = bytes(self._buffer[self._start : end])
        self._advance(end)
        return Frame(tag, raw)

    async def read_startup(self) -> bytes | None:
        """Return the body of a start-up message, which carries no tag.

        Raises
        ------
        WireError
            If its length is out of range.
        """
        while True:
            if self.buffered_bytes >= _LENGTH_BYTES:
                body = self._pop_startup()
                if body is not None:
                    return body
            chunk = await self._stream.receive()
            if not chunk:
                return None
            self._buffer.extend(chunk)

    def _pop_startup(self) -> bytes | None:
        (length,) = struct.unpack_from('!I', self._buffer, self._start)
        if length < _LENGTH_BYTES * 2 or length > self._max_bytes:
            raise WireError(f'start-up message declares {length} bytes')
        end = self._start + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[self._start + _LENGTH_BYTES : end])
        self._advance(end)
        return body

    def _advance(self, end: int) -> None:
        self._start = end
        if end == len(self._buffer):
            self._buffer.clear()
            self._start = 0
        elif end > _COMPACTION_BYTES:
            del self._buffer[:end]
            self._start = 0
