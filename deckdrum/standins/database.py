"""A stand-in database server.

TEST STAND-IN: speaks the PostgreSQL protocol, executes SQL by `sqlite3` and
takes part in a replicated group.
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
    """One database server that listens.

    Parameters
    ----------
    profile : DatabaseProfile
        Its properties.
    """

    def __init__(self, profile: DatabaseProfile) -> None:
        super().__init__(profile)
        self._tasks: list[Any] = []
        self._listener: Listener | None = None

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.profile.address

    async def start(self) -> None:
        """Start the server, or start it again after a crash."""
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
        """Stop at once; what is in the log stays."""
        self.running = False
        if self._listener is not None:
            await self._listener.close()
            self._listener = None
        for task in self._tasks:
            await task.cancel(blocking=False)
        self._tasks = []
        self.sessions.clear()

    async def close(self) -> None:
        """Stop and remove everything."""
        await self.crash()
        self.engine.close()

    async def _serve(self, stream: Stream) -> None:
        await serve_session(self, stream)
