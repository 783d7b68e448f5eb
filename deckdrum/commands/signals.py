"""Graceful shutdown on signals."""

import signal
import socket
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Any

import curio

#: Signals that start a graceful shutdown.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def catch_signals(
    numbers: Sequence[signal.Signals] = STOP_SIGNALS,
) -> Iterator[Any]:
    """Yield a socket from which the numbers of caught signals are read.

    Notes
    -----
    The interpreter itself writes to the socket (`signal.set_wakeup_fd`), so no
    Python code runs in the signal handler.
    """
    receiving, sending = socket.socketpair()
    sending.setblocking(False)
    previous_handlers = {number: signal.getsignal(number) for number in numbers}
    for number in numbers:
        signal.signal(number, _ignore_signal)
    signal.set_wakeup_fd(sending.fileno())
    try:
        yield curio.io.Socket(receiving)
    finally:
        _restore(previous_handlers)
        sending.close()


def _restore(previous_handlers: Mapping[Any, Any]) -> None:
    signal.set_wakeup_fd(-1)
    for number, action in previous_handlers.items():
        signal.signal(number, action)


async def stop_at_signal(
    signals: Any,
    stop: Callable[[], Awaitable[None]],
) -> None:
    """Call `stop` once a signal is received."""
    await signals.recv(1)
    await stop()


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing; the interpreter has written to the socket already."""
