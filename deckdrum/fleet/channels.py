"""Channels between a caller's proxy and the keeper of a service.

Each active request has a channel of its own: a TCP stream, or a pair of queues
if the keeper is in the same process.  Channels rely on the flow control of TCP.
"""

from abc import ABC, abstractmethod
from collections import deque
from typing import Any, Final

import curio
import msgpack

from deckdrum.fleet.base import Message
from deckdrum.fleet.messages import (
    MAX_MESSAGE_BYTES,
    MessageError,
    decode_message,
    encode_message,
)
from deckdrum.utils import Stream

#: Messages queued in a local channel before its sender has to wait.
_MAX_QUEUED_MESSAGES: Final = 8


class Channel(ABC):
    """A bidirectional sequence of messages.

    `send` and `receive` raise `ConnectionError` once the other end has closed.
    """

    @abstractmethod
    async def send(self, message: Message) -> None:
        """Send a message; wait while the other end cannot take more."""

    @abstractmethod
    async def receive(self) -> Message:
        """Return the next message."""

    @abstractmethod
    async def close(self) -> None:
        """Close the channel; a second call does nothing."""


class StreamChannel(Channel):
    """A channel over a TCP stream.

    Parameters
    ----------
    stream : Stream
        An open connection.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    @property
    def is_usable(self) -> bool:
        """Whether the stream is open and nothing unread has arrived."""
        return self._stream.is_idle()

    async def send(self, message: Message) -> None:
        """Send a message.

        The stream is closed if sending is cancelled or fails: the peer may have
        got a part of the message, and would take a later one for its rest.
        """
        is_sent = False
        try:
            await self._stream.send(encode_message(message))
            is_sent = True
        finally:
            if not is_sent:
                await self.close()

    async def receive(self) -> Message:
        """Return the next message."""
        while True:
            parts = self._unpack()
            if parts is not None:
                return decode_message(parts)
            chunk = await self._stream.receive()
            if not chunk:
                raise ConnectionResetError('the peer closed the channel')
            self._feed(chunk)

    async def ask(self, request: Message) -> Message:
        """Send a request and return the answer.

        The stream is closed if no answer is received, since a later request
        would otherwise get the answer to this one.
        """
        is_answered = False
        try:
            await self.send(request)
            answer = await self.receive()
            is_answered = True
        finally:
            if not is_answered:
                await self.close()
        return answer

    async def close(self) -> None:
        """Close the stream."""
        await self._stream.close()

    def _feed(self, chunk: bytes) -> None:
        try:
            self._unpacker.feed(chunk)
        except msgpack.BufferFull as error:
            raise MessageError('a message is too large') from error

    def _unpack(self) -> Any:
        try:
            return self._unpacker.unpack()
        except msgpack.OutOfData:
            return None
        except (ValueError, msgpack.UnpackException) as error:
            raise MessageError('the peer sent no MessagePack') from error


class _MessageQueue:
    """Queue of the messages to one end of a local channel."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque()
        self.changed = curio.Condition()
        self.closed = False

    async def put(self, message: Message) -> None:
        async with self.changed:
            while (
                len(self.messages) >= _MAX_QUEUED_MESSAGES and not self.closed
            ):
                await self.changed.wait()
            if self.closed:
                raise ConnectionResetError('the channel is closed')
            self.messages.append(message)
            await self.changed.notify_all()

    async def take(self) -> Message:
        async with self.changed:
            while not self.messages and not self.closed:
                await self.changed.wait()
            if not self.messages:
                raise ConnectionResetError('the channel is closed')
            message = self.messages.popleft()
            await self.changed.notify_all()
        return message

    async def close(self) -> None:
        async with self.changed:
            self.closed = True
            await self.changed.notify_all()


class LocalChannel(Channel):
    """One end of a channel within a process; see `open_pair`."""

    def __init__(self, inbox: _MessageQueue, outbox: _MessageQueue) -> None:
        self._inbox = inbox
        self._outbox = outbox

    @classmethod
    def open_pair(cls) -> tuple['LocalChannel', 'LocalChannel']:
        """Return the two ends of a new channel."""
        first, second = _MessageQueue(), _MessageQueue()
        return cls(first, second), cls(second, first)

    async def send(self, message: Message) -> None:
        """Send a message."""
        await self._outbox.put(message)

    async def receive(self) -> Message:
        """Return the next message."""
        return await self._inbox.take()

    async def close(self) -> None:
        """Close both directions."""
        await self._inbox.close()
        await self._outbox.close()
