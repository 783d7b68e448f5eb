"""Counting the statements that a node runs at the servers of a group."""

from typing import Final

import curio

#: Timeout for running statements when a term ends; most take 6 to 60 ms.
TERM_DRAIN_TIMEOUT_S: Final = 0.12
_DRAIN_POLL_INTERVAL_S: Final = 0.005


class RunningStatements:
    """Number of statements that run now."""

    def __init__(self) -> None:
        self.count = 0

    async def wait_until_done(self) -> None:
        """Wait up to `TERM_DRAIN_TIMEOUT_S` until none runs."""
        async with curio.ignore_after(TERM_DRAIN_TIMEOUT_S):
            while self.count:
                await curio.sleep(_DRAIN_POLL_INTERVAL_S)
