"""A curio kernel with a virtual clock.

Tests and experiments run proxies and simulated servers over real loopback
sockets in one kernel.  The selector polls without blocking; when no event is
ready, it advances the clock to the next deadline instead of sleeping.
"""

import selectors
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, Final, TypeVar

import curio
from curio import kernel as curio_kernel

_Outcome = TypeVar('_Outcome')
#: Polls without an event before the clock advances.  Loopback delivery is
#: synchronous on Linux; the second poll guards against deferred delivery.
_IDLE_POLLS: Final = 2
#: Real time to wait for other threads when no task has a deadline.
_STALL_POLL_TIMEOUT_S: Final = 0.05
_MAX_STALLED_POLLS: Final = 200


class VirtualClock:
    """The clock of a virtual kernel.

    Parameters
    ----------
    start : float
        Initial time, in seconds.

    Examples
    --------
    >>> clock = VirtualClock(start=5.0)
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    7.5
    """

    def __init__(self, start: float = 0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self._now += seconds


class VirtualSelector(selectors.DefaultSelector):
    """A selector that advances a clock instead of blocking.

    Parameters
    ----------
    clock : VirtualClock
        The clock to advance.
    """

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock
        self._stalls = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return ready events, or advance the clock by `timeout` seconds.

        Raises
        ------
        RuntimeError
            If no task has a deadline and no event arrives (a deadlock).
        """
        for _ in range(_IDLE_POLLS):
            events = self._poll()
            if events:
                self._stalls = 0
                return events
        if timeout is None:
            return self._wait_for_thread()
        if timeout > 0:
            self._clock.advance(timeout)
        return []

    def _poll(
        self,
        seconds: float = 0,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        return super().select(seconds)

    def _wait_for_thread(self) -> list[tuple[selectors.SelectorKey, int]]:
        self._stalls += 1
        if self._stalls > _MAX_STALLED_POLLS:
            raise RuntimeError(
                'deadlock: every task waits and none has a deadline'
            )
        return self._poll(_STALL_POLL_TIMEOUT_S)


def run_virtual(
    main: Callable[..., Awaitable[_Outcome]],
    *arguments: Any,
) -> _Outcome:
    """Run a coroutine function to completion in virtual time.

    Parameters
    ----------
    main : callable
        The coroutine function to run.
    *arguments : object
        Its positional arguments.

    Returns
    -------
    object
        The return value of `main`.

    Examples
    --------
    >>> async def sleep_one_hour():
    ...     await curio.sleep(3600)
    ...     return await curio.clock()
    >>> run_virtual(sleep_one_hour)
    3600
    """
    clock = VirtualClock()
    with _patch_kernel_clock(clock):
        kernel = curio.Kernel(
            selector=VirtualSelector(clock),
            max_select_timeout=None,
        )
        with kernel:
            outcome: _Outcome = kernel.run(main, *arguments)
            return outcome


@contextmanager
def _patch_kernel_clock(clock: VirtualClock) -> Iterator[None]:
    original = curio_kernel.time
    curio_kernel.time = SimpleNamespace(monotonic=clock.monotonic)
    try:
        yield
    finally:
        curio_kernel.time = original
