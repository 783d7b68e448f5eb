"""Line framing of the users' protocol."""

from typing import Final

from deckdrum.utils import Stream

_END: Final = b'\r\n'


async def read_line(stream: Stream, buffer: bytearray) -> str | None:
    """Return the next line without its terminator; None at end of stream.

    `buffer` keeps bytes received after that line.
    """
    while _END not in buffer:
        chunk = await stream.receive()
        if not chunk:
            return None
        buffer.extend(chunk)
    end = buffer.index(_END)
    line = buffer[:end].decode()
    del buffer[: end + len(_END)]
    return line
