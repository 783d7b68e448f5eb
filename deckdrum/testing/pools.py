"""Pools of connections to servers that only count, for replays of loads."""

from deckdrum.backends import Lease, Pool, PooledLink
from deckdrum.backends.pool import Connectable


class StubLink(PooledLink):
    """A connection that does nothing.

    Parameters
    ----------
    workspace : str
        Whose it is.
    """

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.is_open = True

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open."""
        return self.is_open

    async def close(self) -> None:
        """Close the connection."""
        self.is_open = False


class StubServer(Connectable[StubLink]):
    """A server that remembers every connection to it."""

    def __init__(self) -> None:
        self.links: list[StubLink] = []

    @property
    def open(self) -> list[str]:
        """Workspaces of the open connections, in the order of their opening."""
        return [link.workspace for link in self.links if link.is_open]

    async def connect(self, timeout: float) -> StubLink:
        """Open a connection of nobody's."""
        return await self.connect_for('', timeout)

    async def connect_for(
        self,
        group: str,
        timeout: float,
        workspace: str | None = None,
    ) -> StubLink:
        """Open a connection of a workspace."""
        link = StubLink(workspace or '')
        self.links.append(link)
        return link


StubPool = Pool[StubServer, StubLink]
StubLease = Lease[StubServer, StubLink]


def build_pool(slots: int) -> StubPool:
    """Return a pool of a few connections to a server of its own."""
    return Pool(StubServer(), slots, {})
