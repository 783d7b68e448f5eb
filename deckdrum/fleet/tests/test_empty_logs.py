"""A new connection to a server whose log may be of another life."""

from dataclasses import dataclass
from typing import Any

import curio
import pytest

from deckdrum.backends import BackendServer, WrongServerError
from deckdrum.fleet.borrowing import DirectBackend
from deckdrum.sessions import Position
from deckdrum.utils import Address

SERVER = BackendServer('i-1', 'stalls', Address('10.1.0.8', 8080), 'ba-hall')


@dataclass
class FakeLink:
    opened_at: Position | None
    is_closed: bool = False

    async def close(self) -> None:
        self.is_closed = True


@dataclass
class FakeBackend:
    link: FakeLink
    server: BackendServer = SERVER

    async def connect_for(self, *_: Any) -> FakeLink:
        return self.link


def _connect(link: FakeLink, is_known: bool) -> Any:
    backend: Any = FakeBackend(link)
    own = DirectBackend(backend)
    own.is_log_known_nonempty = lambda: is_known
    return curio.run(own.connect, 1)


@pytest.mark.parametrize(
    ('opened_at', 'is_known'),
    [
        # It still applies what it has received before it led.
        (Position(4, 3), True),
        (Position(3, 1204), True),
        (None, True),
        (Position(1, 0), False),
    ],
)
def test_log_that_is_not_empty_or_not_known_is_used(
    opened_at: Position | None,
    is_known: bool,
) -> None:
    link = FakeLink(opened_at)
    assert _connect(link, is_known) is link
    assert not link.is_closed


def test_log_that_held_something_and_is_empty_is_of_another_life() -> None:
    link = FakeLink(Position(1, 0))
    with pytest.raises(WrongServerError, match='the log of i-1 is empty'):
        _connect(link, is_known=True)
    assert link.is_closed
