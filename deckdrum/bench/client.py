"""A caller for tests and experiments."""

from collections.abc import Mapping

import curio

from deckdrum.callers.state import SESSION
from deckdrum.configuration import DatabaseEntry
from deckdrum.databases import Credentials, QueryResult
from deckdrum.databases.postgres import PostgresLink
from deckdrum.utils import Address, dial

_CONNECT_LIMIT = 5.0


class Client:
    """One caller's connection to a proxy.

    Parameters
    ----------
    link : PostgresLink
        The connection, logged in.
    """

    def __init__(self, link: PostgresLink) -> None:
        self.link = link

    @property
    def token(self) -> str:
        """The session token that the proxy last reported."""
        return self.link.reported.get(SESSION, '')

    @classmethod
    async def connect(
        cls,
        address: Address,
        credentials: Credentials,
        options: Mapping[str, str] | None = None,
    ) -> 'Client':
        """Log in at a proxy; `credentials.database` names the service.

        Raises
        ------
        ConnectionError
            If the proxy refuses or cannot be reached.
        """
        entry = DatabaseEntry(
            name='proxy',
            data_centre='any',
            address=str(address),
        )
        link = PostgresLink(entry, await dial(address, _CONNECT_LIMIT))
        try:
            await link.start(credentials, dict(options or {}))
        except (ConnectionError, curio.CancelledError):
            await link.close()
            raise
        return cls(link)

    async def run(self, text: str) -> QueryResult:
        """Run a simple query."""
        return await self.link.query(text)

    async def read_one(self, text: str) -> str | None:
        """Return the only value of a query.

        Raises
        ------
        AssertionError
            If the query fails.
        """
        answer = await self.link.query(text)
        if answer.sqlstate:
            raise AssertionError(f'{answer.sqlstate} {answer.text}')
        return answer.rows[0][0] if answer.rows else None

    async def close(self) -> None:
        """Leave."""
        await self.link.close()
