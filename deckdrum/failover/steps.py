"""Orders and probes of one database, each over a connection of its own."""

from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio

from deckdrum.databases import Database, DatabaseLink, DatabaseState

#: For one step on one database.
STEP_TIMEOUT_S: Final = 0.5
STEP_RETRY_DELAY_S: Final = 0.1

Step = Callable[[DatabaseLink], Awaitable[DatabaseState | None]]


async def run_step(database: Database, step: Step) -> DatabaseState | None:
    """Run one step; return None if it is refused or not answered in time."""
    try:
        async with curio.timeout_after(STEP_TIMEOUT_S):
            return await run_untimed_step(database, step)
    except curio.TaskTimeout:
        return None


async def run_untimed_step(
    database: Database, step: Step
) -> DatabaseState | None:
    """Run one step that may take long; return None if it is refused."""
    link: Any = None
    try:
        link = await database.connect(STEP_TIMEOUT_S)
        return await step(link)
    except ConnectionError:
        return None
    finally:
        if link is not None:
            await link.close()


async def repoint_replica(
    database: Database,
    primary: str,
    term: int,
) -> bool:
    """Make a database replicate from `primary`; return whether it does."""
    state = await run_step(
        database, lambda link: database.follow(link, primary, term)
    )
    return state is not None
