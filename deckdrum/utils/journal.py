"""Structured logs: one JSON line for each decision or change of state.

Writing never waits: what the reader does not take at once is kept up to a
bound and then dropped, and the drop is told.  Events that load can multiply
have a budget of lines a second; what goes beyond it is counted and told.
"""

import logging
import os
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final, TextIO

from pythonjsonlogger.json import JsonFormatter

#: Field names whose values are never written to a log.
SECRET_FIELDS = frozenset(('password', 'key', 'secret', 'token', 'verifier'))
#: Lines of one event in one second, for events that load can multiply.
MAX_LINES_PER_SECOND: Final = 10
#: Time between two summaries of what was left out, in seconds.
SUMMARY_INTERVAL_S: Final = 5.0
#: Bytes kept for a reader that is slow.
_MAX_BUFFERED_BYTES: Final = 65536
_REDACTED = '(hidden)'
# A timeout that ends a moment late is no event of ours.
logging.getLogger('curio.time').setLevel(logging.ERROR)


class EventRateLimiter:
    """Bounds the lines of each event.

    Parameters
    ----------
    read_clock : callable
        Returns the time in seconds.

    Examples
    --------
    >>> budget = EventRateLimiter(lambda: 7.0, lines=1)
    >>> budget.take('request.refused'), budget.take('request.refused')
    (True, False)
    >>> budget.omitted
    Counter({'request.refused': 1})
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = time.monotonic,
        lines: int = MAX_LINES_PER_SECOND,
    ) -> None:
        #: Lines left out since the last summary, by event.
        self.omitted: Counter[str] = Counter()
        self._read_clock = read_clock
        self._lines = lines
        self._second = float('-inf')
        self._written: Counter[str] = Counter()
        self._told_at = read_clock()

    def take(self, event: str) -> bool:
        """Return whether a line of `event` may be written now."""
        now = self._read_clock()
        if now - self._second >= 1:
            self._second = now
            self._written.clear()
        if self._written[event] >= self._lines:
            self.omitted[event] += 1
            return False
        self._written[event] += 1
        return True

    def pop_summary(self) -> dict[str, int]:
        """Return what was left out, if it is time to tell."""
        now = self._read_clock()
        if not self.omitted or now - self._told_at < SUMMARY_INTERVAL_S:
            return {}
        self._told_at = now
        omitted = dict(self.omitted)
        self.omitted.clear()
        return omitted


class NonBlockingStream:
    """A text stream over a descriptor that never waits for its reader.

    Parameters
    ----------
    descriptor : int
        Where to write.
    """

    def __init__(self, descriptor: int) -> None:
        #: Lines dropped because the reader was too slow.
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text, now or when the reader has room again."""
        encoded = text.encode()
        if len(self._waiting) + len(encoded) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
            return 0
        self._waiting.extend(encoded)
        return len(text)

    def flush(self) -> None:
        """Hand the reader what it takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                # The next line tries again.
                return
            del self._waiting[:written]


class Journal:
    """Writes events of one process as JSON lines.

    Parameters
    ----------
    logger : logging.Logger
        Where the lines go.
    source : str
        Name of the process, added to each line.
    budget : LineBudget, optional
        Bounds the events that load can multiply.
    """

    def __init__(
        self,
        logger: logging.Logger,
        source: str,
        budget: EventRateLimiter | None = None,
    ) -> None:
        self._logger = logger
        self._source = source
        self._budget = budget or EventRateLimiter()

    def record(self, event: str, **fields: Any) -> None:
        """Write one change of state.

        Parameters
        ----------
        event : str
            Name of the event, such as ``failover.promoted``.
        **fields : object
            What belongs to it; values of secret fields are hidden.
        """
        shown = {
            name: _REDACTED if name in SECRET_FIELDS else field
            for name, field in fields.items()
        }
        # As one mapping: names such as "name" would clash as extra fields.
        self._logger.info({'event': event, 'source': self._source, **shown})

    def record_rate_limited(self, event: str, **fields: Any) -> None:
        """Write an event that load can multiply, within its budget."""
        if self._budget.take(event):
            self.record(event, **fields)
        omitted = self._budget.pop_summary()
        if omitted:
            self.record('log.omitted', lines=omitted)


def open_journal(source: str, stream: TextIO | None = None) -> Journal:
    """Return a journal that writes JSON lines.

    Parameters
    ----------
    source : str
        Name of the process.
    stream : file, optional
        Where to write; standard error by default.

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
    """Return a journal that writes to a descriptor and never waits."""
    sink = logging.StreamHandler(NonBlockingStream(descriptor))
    return _build_journal(source, sink)


def open_null_journal(source: str) -> Journal:
    """Return a journal that writes nothing, for tests and experiments."""
    logger = logging.Logger(f'deckdrum.{source}', logging.CRITICAL)
    logger.addHandler(logging.NullHandler())
    return Journal(logger, source)


def _build_journal(source: str, sink: logging.Handler) -> Journal:
    sink.setFormatter(
        JsonFormatter(
            '%(asctime)s',
            rename_fields={'asctime': 'time'},
        ),
    )
    logger = logging.Logger(f'deckdrum.{source}', logging.INFO)
    logger.addHandler(sink)
    return Journal(logger, source)
