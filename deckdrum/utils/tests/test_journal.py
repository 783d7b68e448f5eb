"""Tests of structured logging: rate limits and slow readers."""

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
    """A clock set by the test."""

    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now


def _read_events(lines: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in lines.getvalue().splitlines()]


def _open_limited(clock: Clock) -> tuple[Journal, io.StringIO]:
    lines = io.StringIO()
    journal = open_journal('n1', lines)
    journal._limiter = EventRateLimiter(clock.read)
    return journal, lines


def test_rate_limit_and_summary_of_suppressed_lines() -> None:
    clock = Clock()
    journal, lines = _open_limited(clock)
    for number in range(1000):
        clock.now += 0.001
        journal.record_rate_limited('request.refused', request=str(number))
    assert len(_read_events(lines)) <= 2 * MAX_LINES_PER_SECOND
    clock.now += SUMMARY_INTERVAL_S
    journal.record_rate_limited('request.refused', request='last')
    summary = _read_events(lines)[-1]
    assert summary['event'] == 'log.omitted'
    assert summary['lines'] == {'request.refused': 1000 - MAX_LINES_PER_SECOND}


def test_rate_limit_is_separate_for_each_event() -> None:
    clock = Clock()
    journal, lines = _open_limited(clock)
    for _ in range(100):
        journal.record_rate_limited('request.served')
    journal.record_rate_limited('request.refused')
    assert _read_events(lines)[-1]['event'] == 'request.refused'


def test_writing_does_not_block_on_a_stalled_reader() -> None:
    receiving, sending = os.pipe()
    journal = open_nonblocking_journal('n1', sending)
    for _ in range(20_000):
        journal.record('node.started', text='x' * 50)
    os.set_blocking(receiving, False)
    first = os.read(receiving, 65536).split(b'\n')[0]
    assert json.loads(first)['event'] == 'node.started'
    os.close(receiving)
    os.close(sending)


def test_field_names_of_log_records_are_allowed() -> None:
    lines = io.StringIO()
    journal = open_journal('n1', lines)
    journal.record('server.removed', name='i-1', message='gone', args=(1,))
    assert _read_events(lines)[0]['name'] == 'i-1'
