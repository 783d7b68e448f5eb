"""Tasks that run as long as their process."""

import traceback
from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio

from deckdrum.utils.journal import Journal

#: Pause before a task that failed is begun again, in seconds.
RESTART_PAUSE: Final = 0.2
#: Characters of a traceback that the log keeps, from its end.
_TRACE_LENGTH: Final = 1500


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
            journal.record_often(
                'task.failed',
                task=work.__qualname__,
                reason=repr(error),
                trace=traceback.format_exc()[-_TRACE_LENGTH:],
            )
            await curio.sleep(RESTART_PAUSE)
        else:
            return
