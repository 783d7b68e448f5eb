"""Servers whose entries are gone and which may still confirm writes."""

from typing import Final

from deckdrum.backends.base import BackendServer

#: How long a server may go on confirming writes of its primary once its entry
#: is gone, in seconds: the drain time (7 s), and some that end later.
CONFIRMATION_TIME_S: Final = 30.0


class LeftServers:
    """Servers that are not listed any more, for `CONFIRMATION_TIME_S`.

    They may serve on and confirm writes that no listed replica has.  Once
    another server is listed at its address, one has ended, and the other one
    has its log.

    Examples
    --------
    >>> from deckdrum.utils import Address
    >>> address = Address('10.1.0.8', 8080)
    >>> left = LeftServers()
    >>> left.record_removal(BackendServer('i-1', 's', address, 'a'), 0)
    >>> left.list_names('s', 5), left.list_names('s', 31)
    ({'i-1'}, set())
    >>> left.record_listing(BackendServer('i-2', 's', address, 'a'))
    >>> left.list_names('s', 5)
    set()
    """

    def __init__(self) -> None:
        self._removed: dict[str, tuple[float, BackendServer]] = {}

    def record_removal(self, server: BackendServer, now: float) -> None:
        """Record that the entry of a server is gone."""
        for name, (removed_at, _) in list(self._removed.items()):
            if now - removed_at >= CONFIRMATION_TIME_S:
                self._removed.pop(name)
        self._removed[server.id] = (now, server)

    def record_listing(self, listed: BackendServer) -> None:
        """Record that a server is listed."""
        for name, (_, server) in list(self._removed.items()):
            if name == listed.id or server.address == listed.address:
                self._removed.pop(name)

    def list_names(self, service: str, now: float) -> set[str]:
        """Return the ids of a group's servers that may still confirm writes."""
        return {
            name
            for name, (removed_at, server) in self._removed.items()
            if server.service == service
            and now - removed_at < CONFIRMATION_TIME_S
        }
