"""Connection pools with stub connections, for simulated loads."""

from deckdrum.backends import Lease, Pool, PooledLink
from deckdrum.backends.pool import Connectable


class StubLink(PooledLink):
    """A connection that only records whether it is open.

    Parameters
    ----------
    workspace : str
        The workspace that owns the connection.
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
    """A server that records every connection to it."""

    def __init__(self) -> None:
        self.links: list[StubLink] = []

    @property
    def open(self) -> list[str]:
        """Workspaces of the open connections, oldest connection first."""
        return [link.workspace for link in self.links if link.is_open]

    async def connect(self, timeout: float) -> StubLink:
        """Open a connection without a workspace."""
        return await self.connect_for('', timeout)

    async def connect_for(
        self,
        group: str,
        timeout: float,
        workspace: str | None = None,
    ) -> StubLink:
        """Open a connection for a workspace."""
        link = StubLink(workspace or '')
        self.links.append(link)
        return link


StubPool = Pool[StubServer, StubLink]
StubLease = Lease[StubServer, StubLink]


def build_pool(slots: int) -> StubPool:
    """Return a pool of at most `slots` connections to a new server."""
    return Pool(StubServer(), slots, {})
