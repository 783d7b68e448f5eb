"""Framing of messages in the platform's line protocol.

A message is one line: a keyword and fields separated by single spaces,
terminated by CR LF.  The last field extends to the end of the line and may
contain spaces.
"""

import re
from typing import Final

from deckdrum.utils import ByteStream

MAX_LINE_BYTES: Final = 1024 * 1024
#: Characters of an invalid message that are quoted in errors.
_MAX_QUOTED_CHARACTERS: Final = 40
_TERMINATOR: Final = b'\r\n'
#: Characters that a server could take for the end of a message.
UNSAFE_CHARACTERS: Final = re.compile(r'[\r\n\x00]')


class LineError(ValueError):
    """A message violates the protocol."""


class LineReader:
    """Reads messages from a connection.

    Parameters
    ----------
    stream : ByteStream
        Stream to read from.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._searched = 0

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been returned as messages yet."""
        return bool(self._buffer)

    async def read(self) -> str | None:
        """Return the next message without CR LF, or None at end of stream.

        Raises
        ------
        LineError
            If the message is too long or not valid text.
        ConnectionError
            If the stream ends within a message.
        """
        while True:
            end = self._buffer.find(_TERMINATOR, self._searched)
            if end >= 0:
                return self._pop_line(end)
            self._searched = max(0, len(self._buffer) - 1)
            if len(self._buffer) > MAX_LINE_BYTES:
                raise LineError(
                    f'a message has over {MAX_LINE_BYTES} bytes',
                )
            chunk = await self._stream.receive()
            if chunk:
                self._buffer.extend(chunk)
            elif self._buffer:
                raise ConnectionResetError('the peer closed within a message')
            else:
                return None

    def _pop_line(self, end: int) -> str:
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(_TERMINATOR)]
        self._searched = 0
        if len(line) > MAX_LINE_BYTES:
            raise LineError(f'a message has over {MAX_LINE_BYTES} bytes')
        try:
            text = line.decode()
        except UnicodeDecodeError as error:
            raise LineError('a message is no text') from error
        if UNSAFE_CHARACTERS.search(text):
            # A server might parse the rest of the line as another message.
            raise LineError('a message holds a bare line end or NUL')
        return text


def encode_line(*fields: str) -> bytes:
    r"""Encode a message of the given fields.

    Examples
    --------
    >>> encode_line('STARTUP', 'stalls', 'u1')
    b'STARTUP stalls u1\r\n'
    """
    return ' '.join(fields).encode() + _TERMINATOR


def shorten(text: str) -> str:
    """Return the start of an invalid message, quoted for an error."""
    return repr(text[:_MAX_QUOTED_CHARACTERS])
