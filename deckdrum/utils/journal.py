"""Structured logging: one JSON line for each event.

`NonBlockingStream` buffers what a slow reader does not accept and drops lines
once its buffer is full.  Events whose number grows with the load are limited
to a number of lines per second; the suppressed lines are counted and reported
in a summary.
"""

import logging
import os
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final, TextIO

from pythonjsonlogger.json import JsonFormatter

#: Fields whose values are redacted.
SECRET_FIELDS = frozenset(('password', 'key', 'secret', 'token', 'verifier'))
#: Limit for each rate-limited event.
MAX_LINES_PER_SECOND: Final = 10
#: Minimum time between two summaries of suppressed lines.
SUMMARY_INTERVAL_S: Final = 5.0
_MAX_BUFFERED_BYTES: Final = 65536
_REDACTED = '(hidden)'
# Curio warns about timeouts that expire late, which is of no use to operators.
logging.getLogger('curio.time').setLevel(logging.ERROR)


class EventRateLimiter:
    """Limits the log lines of each event to a number per second.

    Parameters
    ----------
    read_clock : callable
        Returns the time in seconds.
    lines : int
        Maximum number of lines of one event per second.

    Examples
    --------
    >>> limiter = EventRateLimiter(lambda: 7.0, lines=1)
    >>> (
    ...     limiter.try_acquire('request.refused'),
    ...     limiter.try_acquire('request.refused'),
    ... )
    (True, False)
    >>> limiter.suppressed
    Counter({'request.refused': 1})
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = time.monotonic,
        lines: int = MAX_LINES_PER_SECOND,
    ) -> None:
        #: Number of lines suppressed since the last summary, by event.
        self.suppressed: Counter[str] = Counter()
        self._read_clock = read_clock
        self._lines = lines
        self._window_start = float('-inf')
        self._line_counts: Counter[str] = Counter()
        self._last_summary_at = read_clock()

    def try_acquire(self, event: str) -> bool:
        """Return whether a line of `event` may be written now, and count it."""
        now = self._read_clock()
        if now - self._window_start >= 1:
            self._window_start = now
            self._line_counts.clear()
        if self._line_counts[event] >= self._lines:
            self.suppressed[event] += 1
            return False
        self._line_counts[event] += 1
        return True

    def pop_summary(self) -> dict[str, int]:
        """Return and reset the suppressed lines if a summary is due."""
        now = self._read_clock()
        if (
            not self.suppressed
            or now - self._last_summary_at < SUMMARY_INTERVAL_S
        ):
            return {}
        self._last_summary_at = now
        suppressed = dict(self.suppressed)
        self.suppressed.clear()
        return suppressed


class NonBlockingStream:
    """A text stream that buffers instead of blocking on a slow reader.

    Parameters
    ----------
    descriptor : int
        The file descriptor, which is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        #: Number of lines dropped because the buffer was full.
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Append text to the buffer, or drop it if the buffer is full."""
        encoded = text.encode()
        if len(self._buffer) + len(encoded) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
            return 0
        self._buffer.extend(encoded)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                # The rest is written with the next line.
                return
            del self._buffer[:written]


class Journal:
    """Logs the events of one process as JSON lines.

    Parameters
    ----------
    logger : logging.Logger
        The logger that writes the lines.
    source : str
        Name of the process, included in each line.
    limiter : EventRateLimiter, optional
        Limits the events logged by `record_rate_limited`.
    """

    def __init__(
        self,
        logger: logging.Logger,
        source: str,
        limiter: EventRateLimiter | None = None,
    ) -> None:
        self._logger = logger
        self._source = source
        self._limiter = limiter or EventRateLimiter()

    def record(self, event: str, **fields: Any) -> None:
        """Log an event.

        Parameters
        ----------
        event : str
            Name of the event, such as ``failover.promoted``.
        **fields : object
            Fields of the event; the values of secret fields are redacted.
        """
        shown = {
            name: _REDACTED if name in SECRET_FIELDS else field
            for name, field in fields.items()
        }
        # Not passed in `extra`, which rejects keys such as "name".
        self._logger.info({'event': event, 'source': self._source, **shown})

    def record_rate_limited(self, event: str, **fields: Any) -> None:
        """Log an event unless its limit of lines per second is reached."""
        if self._limiter.try_acquire(event):
            self.record(event, **fields)
        suppressed = self._limiter.pop_summary()
        if suppressed:
            self.record('log.omitted', lines=suppressed)


def open_journal(source: str, stream: TextIO | None = None) -> Journal:
    """Return a journal that writes JSON lines.

    Parameters
    ----------
    source : str
        Name of the process.
    stream : file, optional
        The output; standard error by default.

    Examples
    --------
    >>> import io
    >>> lines = io.StringIO()
    >>> open_journal('p1', lines).record('proxy.started', password='x')
    >>> '"event": "proxy.started"' in lines.getvalue()
    True
    >>> '"password": "(hidden)"' in lines.getvalue()
    True
    """
    return _build_journal(source, logging.StreamHandler(stream or sys.stderr))


def open_nonblocking_journal(source: str, descriptor: int) -> Journal:
    """Return a journal that writes to a descriptor without blocking."""
    log_handler = logging.StreamHandler(NonBlockingStream(descriptor))
    return _build_journal(source, log_handler)


def open_null_journal(source: str) -> Journal:
    """Return a journal that discards all events."""
    logger = logging.Logger(f'deckdrum.{source}', logging.CRITICAL)
    logger.addHandler(logging.NullHandler())
    return Journal(logger, source)


def _build_journal(source: str, log_handler: logging.Handler) -> Journal:
    log_handler.setFormatter(
        JsonFormatter(
            '%(asctime)s',
            rename_fields={'asctime': 'time'},
        ),
    )
    logger = logging.Logger(f'deckdrum.{source}', logging.INFO)
    logger.addHandler(log_handler)
    return Journal(logger, source)
