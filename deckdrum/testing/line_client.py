"""A client of the platform's line protocol."""

from dataclasses import dataclass, field
from typing import Final

import curio

from deckdrum.standins.users import read_line
from deckdrum.utils import Address, Stream, dial

WRITE_TIMEOUT_S: Final = 8.0
_WRITE_RETRY_DELAY_S: Final = 0.05
_REPLY_TIMEOUT_S: Final = 6.0


@dataclass(slots=True)
class Reply:
    """An answer: its rows, its final line and the transaction state."""

    rows: list[str] = field(default_factory=list)
    end: str = ''
    text: str = ''
    state: str = ''

    @property
    def is_done(self) -> bool:
        """Whether the statement succeeded."""
        return self.end == 'COMPLETE'


class LineClient:
    """A client of the platform's line protocol."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self._buffer = bytearray()
        self._statement_count = 0
        #: The answer to the first message.
        self.greeting = Reply()

    @classmethod
    async def connect(
        cls,
        address: Address,
        database: str,
        key: str = 'test',
    ) -> 'LineClient':
        """Open a session with an API key."""
        client = cls(await dial(address, 1))
        await client.send(f'STARTUP {database} {key}')
        client.greeting = await client.read_reply()
        return client

    async def send(self, line: str) -> None:
        """Send one message."""
        await self.stream.send(f'{line}\r\n'.encode())

    async def ask(self, text: str) -> Reply:
        """Send a statement and return its answer."""
        self._statement_count += 1
        await self.send(f'QUERY {id(self):x}{self._statement_count:x} {text}')
        return await self.read_reply()

    async def read_reply(self) -> Reply:
        """Return the next answer; its state is empty if the session ends."""
        reply = Reply()
        async with curio.timeout_after(_REPLY_TIMEOUT_S):
            while True:
                line = await read_line(self.stream, self._buffer)
                if line is None:
                    return reply
                word, _, rest = line.partition(' ')
                if word == 'READY':
                    reply.state = rest.partition(' ')[0]
                    return reply
                if word == 'ROW':
                    reply.rows.append(rest)
                else:
                    reply.end = word
                    reply.text = rest

    async def write_until_done(self, timeout: float = WRITE_TIMEOUT_S) -> float:
        """Retry a write until it succeeds; return the elapsed seconds."""
        start: float = await curio.clock()
        async with curio.timeout_after(timeout):
            while not (await self.ask('WRITE a 1')).is_done:
                await curio.sleep(_WRITE_RETRY_DELAY_S)
        end: float = await curio.clock()
        return end - start

    async def close(self) -> None:
        """Close the connection."""
        await self.stream.close()
