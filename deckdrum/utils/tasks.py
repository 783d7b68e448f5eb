"""Restarting failed tasks, and sharing the result of a call."""

import traceback
from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio

from deckdrum.utils.journal import Journal

RESTART_DELAY_S: Final = 0.2
#: Longer tracebacks are truncated at their start.
_MAX_TRACEBACK_CHARACTERS: Final = 1500


async def keep_running(
    journal: Journal,
    work: Callable[..., Awaitable[Any]],
    *arguments: Any,
) -> None:
    """Run a task, and log and restart it whenever it fails.

    Keeps an unexpected exception from silently ending a background task while
    the rest of the process continues.

    Parameters
    ----------
    journal : Journal
        Log to which each failure is written, with its traceback.
    work : callable
        The coroutine function; the task ends when it returns.
    *arguments : object
        Arguments of `work`.
    """
    while True:
        try:
            await work(*arguments)
        except Exception as error:
            journal.record_rate_limited(
                'task.failed',
                task=work.__qualname__,
                reason=repr(error),
                trace=traceback.format_exc()[-_MAX_TRACEBACK_CHARACTERS:],
            )
            await curio.sleep(RESTART_DELAY_S)
        else:
            return


class SharedCall:
    """Merges concurrent calls into one and shares its result.

    Parameters
    ----------
    call : callable
        Coroutine function without arguments.
    """

    def __init__(self, call: Callable[[], Awaitable[Any]]) -> None:
        self._call = call
        self._task: Any = None

    async def get(self) -> Any:
        """Return the result of the running call, or of a new one."""
        if self._task is None or self._task.terminated:
            self._task = await curio.spawn(self._call, daemon=True)
        task = self._task
        await task.wait()
        return task.result
