"""Telling from log lines what happened to a request or a group, in order."""

import json
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any, Final

#: How long before a request's first line a group's lines belong to its story,
#: in seconds: longer than a statement may take and a primary is missed.
CONTEXT_BEFORE_S: Final = 3.0
#: The time that `logging` writes: a comma before the milliseconds.
_TIME_FORMAT: Final = '%Y-%m-%d %H:%M:%S,%f'
#: Fields that the heading of a line shows already.
_HEADING_FIELDS: Final = frozenset(('time', 'event', 'source'))
#: Events of the surroundings that may decide what becomes of a request.
_CONTEXT_EVENTS: Final = (
    'change.',
    'configuration.',
    'detour.',
    'leadership.',
    'node.',
    'server.',
    'store.',
    'task.',
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log."""

    time: datetime
    source: str
    event: str
    fields: dict[str, Any]

    @property
    def service(self) -> str:
        """Database group that the line is about, if any."""
        return str(self.fields.get('service', ''))

    @property
    def request(self) -> str:
        """Id of the request that the line is about, if any."""
        return str(self.fields.get('request', ''))

    def render(self) -> str:
        """Return the line for a person."""
        shown = ' '.join(
            f'{name}={field}'
            for name, field in self.fields.items()
            if name not in _HEADING_FIELDS
        )
        return f'{self.time:%H:%M:%S.%f} {self.source} {self.event} {shown}'


@dataclass(frozen=True, slots=True)
class LogQuery:
    """What shall be explained; empty parts do not restrict."""

    request: str = ''
    service: str = ''


def read_lines(paths: Sequence[Path]) -> Iterator[LogLine]:
    """Read log lines from files, or from standard input without any.

    Lines of other programs between them are passed over.
    """
    if not paths:
        yield from _parse_lines(sys.stdin)
    for path in paths:
        with path.open() as lines:
            yield from _parse_lines(lines)


def explain_lines(
    lines: Iterable[LogLine],
    question: LogQuery,
) -> list[LogLine]:
    """Return the lines that tell what happened, in order of time.

    Of a request these are its own lines, and what its group's nodes came to
    believe or did from a while before it to its end.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    if not question.request:
        return [
            line
            for line in ordered
            if line.service == question.service and _is_context(line)
        ]
    own = [line for line in ordered if line.request == question.request]
    if not own:
        return []
    service = next((line.service for line in own if line.service), '')
    since = own[0].time - timedelta(seconds=CONTEXT_BEFORE_S)
    return [
        line
        for line in ordered
        if line in own
        or (
            since <= line.time <= own[-1].time
            and _is_context(line)
            and line.service in {'', service}
        )
    ]


def summarize_request(lines: Sequence[LogLine], request: str) -> str:
    """Return one sentence on what became of a request."""
    own = [line for line in lines if line.request == request]
    if not own:
        return f'no line tells of request {request}'
    last = own[-1]
    outcome = last.fields.get('outcome') or last.fields.get('code') or 'done'
    if last.event == 'request.served':
        outcome = f'done by {last.fields.get("server")}'
    seconds = last.fields.get('seconds', '?')
    return f'request {request}: {outcome}, after {seconds} s at {last.source}'


def print_explanation(
    paths: Sequence[Path],
    question: LogQuery,
    as_json: bool,
    say: Callable[[str], None],
) -> bool:
    """Say what the logs tell; return whether they tell anything."""
    told = explain_lines(read_lines(paths), question)
    for line in told:
        say(json.dumps(line.fields) if as_json else line.render())
    if question.request and not as_json:
        say(summarize_request(told, question.request))
    return bool(told)


def _is_context(line: LogLine) -> bool:
    return line.event.startswith(_CONTEXT_EVENTS)


def _parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    for text in lines:
        parsed = _parse(text)
        if parsed is not None:
            yield parsed


def _parse(text: str) -> LogLine | None:
    """Return a log line; None for what is none."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        time = datetime.strptime(fields['time'], _TIME_FORMAT)
        return LogLine(time, fields['source'], fields['event'], fields)
    except (ValueError, KeyError, TypeError):
        # Another program's line, or one that was cut: not ours to explain.
        return None
