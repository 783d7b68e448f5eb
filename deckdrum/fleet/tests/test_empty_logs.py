"""New connections to a server that may have restarted with an empty log."""

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
    position_at_open: Position | None
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
    ('position_at_open', 'is_known'),
    [
        # A new primary that is still applying the log it received.
        (Position(4, 3), True),
        (Position(3, 1204), True),
        (None, True),
        (Position(1, 0), False),
    ],
)
def test_server_with_a_log_or_without_known_data_is_accepted(
    position_at_open: Position | None,
    is_known: bool,
) -> None:
    link = FakeLink(position_at_open)
    assert _connect(link, is_known) is link
    assert not link.is_closed


def test_empty_log_of_a_server_with_known_data_is_rejected() -> None:
    link = FakeLink(Position(1, 0))
    with pytest.raises(WrongServerError, match='the log of i-1 is empty'):
        _connect(link, is_known=True)
    assert link.is_closed
