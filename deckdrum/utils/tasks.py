"""Tasks that run as long as their process."""

import traceback
from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio

from deckdrum.utils.journal import Journal

#: Pause before a task that failed is begun again, in seconds.
RESTART_DELAY_S: Final = 0.2
#: Characters of a traceback that the log keeps, from its end.
_MAX_TRACEBACK_CHARACTERS: Final = 1500


async def keep_running(
    journal: Journal,
    work: Callable[..., Awaitable[Any]],
    *arguments: Any,
) -> None:
    """Run a task for ever; one that fails is logged and begun again.

    A defect in one part must not silently end it while the others go on.

    Parameters
    ----------
    journal : Journal
        Told of each failure, with its traceback.
    work : callable
        The coroutine function; its return ends the task.
    *arguments : object
        Its arguments.
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
    """A call whose result serves all who want it at the same time.

    Parameters
    ----------
    call : callable
        What is called, without arguments.
    """

    def __init__(self, call: Callable[[], Awaitable[Any]]) -> None:
        self._call = call
        self._task: Any = None

    async def get(self) -> Any:
        """Return the result of a call that ends after now."""
        if self._task is None or self._task.terminated:
            self._task = await curio.spawn(self._call, daemon=True)
        task = self._task
        await task.wait()
        return task.result
