"""Turning signals into a planned stop."""

import signal
import socket
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Any

import curio

#: Signals that ask for a planned stop.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def catch_signals(
    numbers: Sequence[signal.Signals] = STOP_SIGNALS,
) -> Iterator[Any]:
    """Give a socket from which the numbers of caught signals can be read.

    Notes
    -----
    The interpreter writes to the socket by itself (`signal.set_wakeup_fd`);
    no Python code runs inside the signal.
    """
    receiving, sending = socket.socketpair()
    sending.setblocking(False)
    before = {number: signal.getsignal(number) for number in numbers}
    for number in numbers:
        signal.signal(number, _note)
    signal.set_wakeup_fd(sending.fileno())
    try:
        yield curio.io.Socket(receiving)
    finally:
        _restore(before)
        sending.close()


def _restore(before: Mapping[Any, Any]) -> None:
    signal.set_wakeup_fd(-1)
    for number, action in before.items():
        signal.signal(number, action)


async def stop_at_signal(
    signals: Any,
    stop: Callable[[], Awaitable[None]],
) -> None:
    """Call `stop` once a signal has come."""
    await signals.recv(1)
    await stop()


def _note(number: int, frame: object) -> None:
    """Take a signal; the interpreter has written to the socket."""
