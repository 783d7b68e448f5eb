"""Logs: bounded in volume, and never in the way."""

import io
import json
import os

from deckdrum.utils import open_journal
from deckdrum.utils.journal import (
    MAX_LINES_PER_SECOND,
    SUMMARY_INTERVAL_S,
    EventRateLimiter,
    Journal,
    open_nonblocking_journal,
)


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now


def _read_events(lines: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in lines.getvalue().splitlines()]


def _open(clock: Clock) -> tuple[Journal, io.StringIO]:
    lines = io.StringIO()
    journal = open_journal('n1', lines)
    journal._budget = EventRateLimiter(clock.read)
    return journal, lines


def test_volume_is_bounded_and_the_rest_is_told() -> None:
    clock = Clock()
    journal, lines = _open(clock)
    for number in range(1000):
        clock.now += 0.001
        journal.record_rate_limited('request.refused', request=str(number))
    assert len(_read_events(lines)) <= 2 * MAX_LINES_PER_SECOND
    clock.now += SUMMARY_INTERVAL_S
    journal.record_rate_limited('request.refused', request='last')
    told = _read_events(lines)[-1]
    assert told['event'] == 'log.omitted'
    assert told['lines'] == {'request.refused': 1000 - MAX_LINES_PER_SECOND}


def test_one_event_does_not_use_up_the_lines_of_another() -> None:
    clock = Clock()
    journal, lines = _open(clock)
    for _ in range(100):
        journal.record_rate_limited('request.served')
    journal.record_rate_limited('request.refused')
    assert _read_events(lines)[-1]['event'] == 'request.refused'


def test_reader_that_does_not_read_stops_nobody() -> None:
    receiving, sending = os.pipe()
    journal = open_nonblocking_journal('n1', sending)
    for _ in range(20_000):
        journal.record('node.started', text='x' * 50)
    os.set_blocking(receiving, False)
    first = os.read(receiving, 65536).split(b'\n')[0]
    assert json.loads(first)['event'] == 'node.started'
    os.close(receiving)
    os.close(sending)


def test_any_field_name_can_be_written() -> None:
    lines = io.StringIO()
    journal = open_journal('n1', lines)
    journal.record('server.removed', name='i-1', message='gone', args=(1,))
    assert _read_events(lines)[0]['name'] == 'i-1'
