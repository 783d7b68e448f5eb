"""A stand-in database server.

TEST STAND-IN: serves the PostgreSQL protocol, executes SQL with `sqlite3` and
is a member of a replicated group.
"""

from typing import Any

import curio

from deckdrum.standins.replication import (
    DatabaseProfile,
    Faults,
    ReplicatedDatabase,
    Role,
)
from deckdrum.standins.session import serve_session
from deckdrum.utils import Address, Listener, Stream

__all__ = ['DatabaseProfile', 'Faults', 'Role', 'StandinDatabase']


class StandinDatabase(ReplicatedDatabase):
    """One database server, with its listener."""

    def __init__(self, profile: DatabaseProfile) -> None:
        super().__init__(profile)
        self._tasks: list[Any] = []
        self._listener: Listener | None = None

    @property
    def address(self) -> Address:
        """Address on which the server listens."""
        return self.profile.address

    async def start(self) -> None:
        """Start the server, also after a crash."""
        self.write_lock = curio.Lock()
        self._listener = Listener(self.profile.address, self._serve)
        await self._listener.start()
        self.profile.address = self._listener.address
        self.running = True
        self._tasks = [
            await curio.spawn(self.receive_log, daemon=True),
            await curio.spawn(self.apply_log, daemon=True),
        ]

    async def crash(self) -> None:
        """Stop at once; the log is kept."""
        self.running = False
        if self._listener is not None:
            await self._listener.close()
            self._listener = None
        for task in self._tasks:
            await task.cancel(blocking=False)
        self._tasks = []
        self.sessions.clear()

    async def close(self) -> None:
        """Stop and remove the stored files."""
        await self.crash()
        self.engine.close()

    async def _serve(self, stream: Stream) -> None:
        await serve_session(self, stream)
