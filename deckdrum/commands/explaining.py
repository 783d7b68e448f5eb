"""Reconstructing from logs what happened to a request or a service."""

import json
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any, Final

#: Lines of the service from this time before the first line of a request are
#: included; covers the statement timeout and the detection of a failed primary.
CONTEXT_BEFORE_S: Final = 3.0
#: Format of `logging`, with a comma before the milliseconds.
_TIME_FORMAT: Final = '%Y-%m-%d %H:%M:%S,%f'
#: Fields that `LogLine.render` shows before the others.
_HEADING_FIELDS: Final = frozenset(('time', 'event', 'source'))
#: Prefixes of events that may affect the outcome of a request.
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
    """A line of a node's log."""

    time: datetime
    source: str
    event: str
    fields: dict[str, Any]

    @property
    def service(self) -> str:
        """Service that the line refers to, or an empty string."""
        return str(self.fields.get('service', ''))

    @property
    def request(self) -> str:
        """Id of the request that the line refers to, or an empty string."""
        return str(self.fields.get('request', ''))

    def render(self) -> str:
        """Return the line in readable form."""
        shown = ' '.join(
            f'{name}={field}'
            for name, field in self.fields.items()
            if name not in _HEADING_FIELDS
        )
        return f'{self.time:%H:%M:%S.%f} {self.source} {self.event} {shown}'


@dataclass(frozen=True, slots=True)
class LogQuery:
    """Selects log lines; empty fields match everything."""

    request: str = ''
    service: str = ''


def read_lines(paths: Sequence[Path]) -> Iterator[LogLine]:
    """Read log lines from files, or from standard input without paths.

    Lines that are not log lines of a node are skipped.
    """
    if not paths:
        yield from _parse_lines(sys.stdin)
    for path in paths:
        with path.open() as lines:
            yield from _parse_lines(lines)


def explain_lines(
    lines: Iterable[LogLine],
    query: LogQuery,
) -> list[LogLine]:
    """Return the lines that match a query, ordered by time.

    For a request, these are its own lines and the state changes of its service
    from `CONTEXT_BEFORE_S` before its first line up to its last line.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    if not query.request:
        return [
            line
            for line in ordered
            if line.service == query.service and _is_context(line)
        ]
    own = [line for line in ordered if line.request == query.request]
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
    """Return a sentence that states the outcome of a request."""
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
    query: LogQuery,
    as_json: bool,
    print_line: Callable[[str], None],
) -> bool:
    """Print the lines that match a query; return whether there are any."""
    matching = explain_lines(read_lines(paths), query)
    for line in matching:
        print_line(json.dumps(line.fields) if as_json else line.render())
    if query.request and not as_json:
        print_line(summarize_request(matching, query.request))
    return bool(matching)


def _is_context(line: LogLine) -> bool:
    return line.event.startswith(_CONTEXT_EVENTS)


def _parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    for text in lines:
        parsed = _parse(text)
        if parsed is not None:
            yield parsed


def _parse(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not one."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        time = datetime.strptime(fields['time'], _TIME_FORMAT)
        return LogLine(time, fields['source'], fields['event'], fields)
    except (ValueError, KeyError, TypeError):
        # A line of another program, or a truncated one.
        return None
