"""A database client for tests and experiments."""

from collections.abc import Mapping

import curio

from deckdrum.callers.state import SESSION
from deckdrum.configuration import DatabaseEntry
from deckdrum.databases import Credentials, QueryResult
from deckdrum.databases.postgres import PostgresLink
from deckdrum.utils import Address, dial

_CONNECT_TIMEOUT_S = 5.0


class Client:
    """A client connection to a proxy, over the authenticated `link`."""

    def __init__(self, link: PostgresLink) -> None:
        self.link = link

    @property
    def token(self) -> str:
        """Session token most recently reported by the proxy."""
        return self.link.reported.get(SESSION, '')

    @classmethod
    async def connect(
        cls,
        address: Address,
        credentials: Credentials,
        options: Mapping[str, str] | None = None,
    ) -> 'Client':
        """Connect to a proxy; `credentials.database` names the service.

        Raises
        ------
        ConnectionError
            If the proxy is unreachable or refuses the connection.
        """
        entry = DatabaseEntry(
            name='proxy',
            data_centre='any',
            address=str(address),
        )
        link = PostgresLink(entry, await dial(address, _CONNECT_TIMEOUT_S))
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
        """Return the first value of a query, or None if it has no rows.

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
        """Close the connection."""
        await self.link.close()
