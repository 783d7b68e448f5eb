"""Connections to backend servers in the platform's line protocol."""

import curio
import pytest

from deckdrum.backends import Call
from deckdrum.operations import Answer, Effect, Rollback, Run
from deckdrum.platform.backends import PlatformLink
from deckdrum.utils import ByteStream
from deckdrum.utils.virtualtime import run_virtual

_ANSWER = b'ROW a-1\r\nCOMPLETE i-1.1\r\nREADY I 1.1\r\n'


class _SlowStream(ByteStream):
    """A stream on which each answer arrives a second after its request."""

    def __init__(self) -> None:
        self._answers = curio.Queue()

    def is_idle(self) -> bool:
        """Return whether no answer is pending."""
        return bool(self._answers.empty())

    async def receive(self) -> bytes:
        """Return the next answer."""
        await curio.sleep(1)
        answer: bytes = await self._answers.get()
        return answer

    async def send(self, payload: bytes) -> None:
        """Take a request."""
        await self._answers.put(_ANSWER)

    async def close(self) -> None:
        """Do nothing."""


def test_request_that_was_given_up_breaks_its_connection() -> None:
    """The rollback would take the statement's late answer for its own."""

    async def scenario() -> None:
        link = PlatformLink(_SlowStream())
        answer = await link.run(Call(Run(Effect.READ, 'READ a')))
        assert isinstance(answer, Answer)
        assert link.is_usable
        async with curio.ignore_after(0.5):
            await link.run(Call(Run(Effect.READ, 'READ b')))
        assert not link.is_usable
        with pytest.raises(ConnectionError):
            await link.run(Call(Rollback()))

    run_virtual(scenario)
