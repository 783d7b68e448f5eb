"""Lines, the units of the platform's protocol.

A message is one line: a word, then fields separated by single blanks, closed
by CR LF; the last field runs to the end and may hold blanks.
"""

import re
from typing import Final

from deckdrum.utils import ByteStream

#: Largest message, in bytes.
MAX_LINE_BYTES: Final = 1024 * 1024
#: Characters of a wrong message that an error shows.
_SHOWN: Final = 40
_END: Final = b'\r\n'
#: What could make a database see two messages in one.
UNSAFE_CHARACTERS: Final = re.compile(r'[\r\n\x00]')


class LineError(ValueError):
    """A message that breaks the protocol."""


class LineReader:
    """Reads messages of one connection.

    Parameters
    ----------
    stream : ByteStream
        The connection.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._searched = 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that are no whole message yet."""
        return bool(self._buffer)

    async def read(self) -> str | None:
        """Return the next message without its end; None at a clean end.

        Raises
        ------
        LineError
            If the message is too long or is no text.
        ConnectionError
            If the connection ends within a message.
        """
        while True:
            end = self._buffer.find(_END, self._searched)
            if end >= 0:
                return self._take(end)
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

    def _take(self, end: int) -> str:
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(_END)]
        self._searched = 0
        if len(line) > MAX_LINE_BYTES:
            raise LineError(f'a message has over {MAX_LINE_BYTES} bytes')
        try:
            text = line.decode()
        except UnicodeDecodeError as error:
            raise LineError('a message is no text') from error
        if UNSAFE_CHARACTERS.search(text):
            # A database might take what follows for a message of its own.
            raise LineError('a message holds a bare line end or NUL')
        return text


def encode_line(*fields: str) -> bytes:
    r"""Return a message.

    Examples
    --------
    >>> encode_line('STARTUP', 'stalls', 'u1')
    b'STARTUP stalls u1\r\n'
    """
    return ' '.join(fields).encode() + _END


def shorten(text: str) -> str:
    """Return how an error shows a wrong message."""
    return repr(text[:_SHOWN])
