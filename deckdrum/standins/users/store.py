"""A stand-in for the store of the platform."""

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.utils import Address
from deckdrum.utils.http import HttpServer, Reply, Request

_PATH_PREFIX: Final = '/-/objects/'
_MS_PER_S: Final = 1000


class StoreFault(StrEnum):
    """A fault of the store."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'
    #: Changes are applied but not answered.
    ANSWERS_LOST = 'answers lost'


_FAULT_STATUS: Final = MappingProxyType(
    {StoreFault.BUSY: 503, StoreFault.MANY: 429},
)
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
#: Delay of answers that must never arrive: longer than any test.
HANG_DURATION_S: Final = 3600.0
_Object = dict[str, Any]
_ByName = dict[str, _Object]


@dataclass(slots=True)
class _Event:
    revision: int
    kind: str
    removed: bool
    stored: dict[str, Any]


@dataclass(slots=True)
class StandinStore:
    """Objects with revisions, pages and watches.

    Attributes
    ----------
    page : int
        Number of objects per page of a list.
    delay : float
        Delay of each answer in seconds.
    fault : StoreFault
        Fault for all machines.
    turned_away : dict of str to StoreFault
        Faults for single machines, by machine name; override `fault`.
    refused_kinds : dict of str to set
        Kinds of objects for which single machines get 429, by machine name.
    cut_off : set of str
        Machines that get no answers, also to calls and watches in progress.
    revision : int
        Revision of the latest change.
    calls : Counter of str
        Number of calls by HTTP method.
    """

    page: int = 500
    delay: float = 0.004
    fault: StoreFault = StoreFault.NONE
    turned_away: dict[str, StoreFault] = field(default_factory=dict)
    refused_kinds: dict[str, set[str]] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    revision: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    _stored: dict[str, _ByName] = field(default_factory=dict)
    _events: list[_Event] = field(default_factory=list)
    _oldest_revision: int = 0
    _changed: Any = field(default_factory=curio.Condition)
    _endpoints: list[HttpServer] = field(default_factory=list)
    #: Number of watches so far, and the last of those never answered.
    _watch_count: int = 0
    _last_stalled_watch: int = 0

    def stall_pending_watches(self) -> None:
        """Never answer the watches received so far."""
        self._last_stalled_watch = self._watch_count

    async def open_endpoint(self, name: str) -> Address:
        """Listen for one machine; see `turned_away` for its faults."""
        endpoint = HttpServer(
            Address('127.0.0.1', 0), partial(self._handle_request, name)
        )
        await endpoint.start()
        self._endpoints.append(endpoint)
        return endpoint.address

    async def close(self) -> None:
        """Close all endpoints."""
        for endpoint in self._endpoints:
            await endpoint.close()

    async def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object unconditionally; return its revision."""
        self.revision += 1
        current = self._stored.setdefault(kind, {}).get(name)
        created = current['meta']['created'] if current else self.revision
        stored = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._stored[kind][name] = stored
        await self._record_event(kind, stored, removed=False)
        return self.revision

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._stored.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            await self._record_event(kind, stored, removed=True)

    def read(self, kind: str, name: str) -> Any:
        """Return the spec of an object, or None if there is none."""
        stored = self._stored.get(kind, {}).get(name)
        return None if stored is None else stored['spec']

    async def compact_history(self) -> None:
        """Discard past events; watches from earlier revisions get a 410."""
        self._events.clear()
        self._oldest_revision = self.revision
        async with self._changed:
            await self._changed.notify_all()

    async def _record_event(
        self,
        kind: str,
        stored: dict[str, Any],
        *,
        removed: bool,
    ) -> None:
        self._events.append(_Event(self.revision, kind, removed, stored))
        async with self._changed:
            await self._changed.notify_all()

    async def _handle_request(
        self, machine: str, request: Request
    ) -> Reply | None:
        self.calls[request.method] += 1
        fault = self._find_fault(machine, request)
        if fault is StoreFault.RESET:
            return None
        if fault is StoreFault.SILENT:
            await curio.sleep(HANG_DURATION_S)
            return None
        status = _FAULT_STATUS.get(fault)
        if status is not None:
            return Reply.from_text(fault.value, status)
        await curio.sleep(self.delay)
        reply = await self._perform(request)
        if machine in self.cut_off:
            await curio.sleep(HANG_DURATION_S)
            return None
        is_change = request.method != 'GET'
        if is_change and fault is StoreFault.ANSWERS_LOST:
            return None
        return reply

    def _find_fault(self, machine: str, request: Request) -> StoreFault:
        kind = _split_path(request)[0]
        if kind in self.refused_kinds.get(machine, ()):
            return StoreFault.MANY
        return self.turned_away.get(machine, self.fault)

    async def _perform(self, request: Request) -> Reply:
        kind, name = _split_path(request)
        if request.method == 'GET':
            return await self._read(request, kind, name)
        if request.method == 'DELETE':
            return await self._delete(request, kind, name)
        return await self._put(request, kind, name)

    async def _read(self, request: Request, kind: str, name: str) -> Reply:
        if name:
            stored = self._stored.get(kind, {}).get(name)
            if stored is None:
                return Reply.from_text('no such object', _NOT_FOUND)
            return Reply.from_json(stored)
        if 'watch' in request.query:
            return await self._watch(request, kind)
        return self._list(request, kind)

    def _list(self, request: Request, kind: str) -> Reply:
        """Return one page of a list."""
        after = request.query.get('after', '')
        known_objects = self._stored.get(kind, {})
        names = sorted(name for name in known_objects if name > after)
        page_items = [known_objects[name] for name in names[: self.page]]
        return Reply.from_json(
            {
                'items': page_items,
                'morePages': len(names) > self.page,
                'currentRev': self.revision,
            },
        )

    async def _watch(self, request: Request, kind: str) -> Reply:
        self._watch_count += 1
        number = self._watch_count
        since = int(request.query['watch'])
        wait = int(request.query.get('waitMs') or 0) / _MS_PER_S
        if since < self._oldest_revision:
            return Reply.from_text('history is gone', _GONE)
        async with curio.ignore_after(wait):
            async with self._changed:
                while not self._has_updates(kind, since):
                    await self._changed.wait()
        if number <= self._last_stalled_watch:
            await curio.sleep(HANG_DURATION_S)
        if since < self._oldest_revision:
            return Reply.from_text('history is gone', _GONE)
        events = [
            {'removed': event.removed, 'object': event.stored}
            for event in self._find_events(kind, since)
        ]
        return Reply.from_json(
            {'events': events, 'currentRev': self.revision},
        )

    def _has_updates(self, kind: str, since: int) -> bool:
        is_compacted = since < self._oldest_revision
        return is_compacted or bool(self._find_events(kind, since))

    def _find_events(self, kind: str, since: int) -> list[_Event]:
        return [
            event
            for event in self._events
            if event.kind == kind and event.revision > since
        ]

    async def _put(self, request: Request, kind: str, name: str) -> Reply:
        body = json.loads(request.body)
        name = name or body['meta']['name']
        current = self._stored.get(kind, {}).get(name)
        if request.method == 'POST' and current is not None:
            return Reply.from_json(current, _CONFLICT)
        if request.method == 'PUT' and current is None:
            return Reply.from_text('no such object', _NOT_FOUND)
        expected_revision = body['meta'].get('revision')
        if current is not None and expected_revision not in {
            None,
            _get_revision(current),
        }:
            return Reply.from_json(current, _CONFLICT)
        if current is not None and current['spec'] == body['spec']:
            return Reply.from_json(current)
        await self.write(kind, name, body['spec'])
        return Reply.from_json(self._stored[kind][name])

    async def _delete(self, request: Request, kind: str, name: str) -> Reply:
        current = self._stored.get(kind, {}).get(name)
        if current is None:
            return Reply.from_text('no such object', _NOT_FOUND)
        expected_revision = int(request.query.get('revision', '0'))
        if expected_revision not in {0, _get_revision(current)}:
            return Reply.from_json(current, _CONFLICT)
        await self.delete(kind, name)
        return Reply.from_json(current)


def _split_path(request: Request) -> tuple[str, str]:
    """Return kind and name of the object that a request concerns."""
    kind, _, name = request.path.removeprefix(_PATH_PREFIX).partition('/')
    return kind, name


def _get_revision(stored: dict[str, Any]) -> int:
    revision: int = stored['meta']['revision']
    return revision
