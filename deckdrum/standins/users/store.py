"""A stand-in of the platform's store."""

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

_PREFIX: Final = '/-/objects/'
_MS: Final = 1000


class StoreFault(StrEnum):
    """What is wrong with the store."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'
    #: Changes are made, and their answers lost.
    ANSWERS_LOST = 'answers lost'


_FAULT_STATUS: Final = MappingProxyType(
    {StoreFault.BUSY: 503, StoreFault.MANY: 429},
)
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
#: Longer than any test runs, in seconds.
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
        Objects of one page.
    delay : float
        Time of an answer in seconds.
    fault : StoreFault
        What is wrong for everybody.
    turned_away : dict of str to StoreFault
        What is wrong for single machines, by the name of their door.
    revision : int
        Counts the changes of all objects.
    calls : Counter of str
        Calls by their HTTP method.
    """

    page: int = 500
    delay: float = 0.004
    fault: StoreFault = StoreFault.NONE
    turned_away: dict[str, StoreFault] = field(default_factory=dict)
    revision: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    _stored: dict[str, _ByName] = field(default_factory=dict)
    _events: list[_Event] = field(default_factory=list)
    _history_from: int = 0
    _changed: Any = field(default_factory=curio.Condition)
    _doors: list[HttpServer] = field(default_factory=list)
    #: Watches so far, and how many of the first are never answered.
    _watches: int = 0
    _muted: int = 0

    def stall_pending_watches(self) -> None:
        """Never answer the watches that wait now; later ones are."""
        self._muted = self._watches

    async def open_endpoint(self, name: str) -> Address:
        """Listen for one machine, which can be turned away by its name."""
        door = HttpServer(Address('127.0.0.1', 0), partial(self._answer, name))
        await door.start()
        self._doors.append(door)
        return door.address

    async def close(self) -> None:
        """Stop."""
        for door in self._doors:
            await door.close()

    async def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a database does."""
        self.revision += 1
        known = self._stored.setdefault(kind, {}).get(name)
        created = known['meta']['created'] if known else self.revision
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
        await self._note(kind, stored, removed=False)
        return self.revision

    async def drop(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._stored.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            await self._note(kind, stored, removed=True)

    def read(self, kind: str, name: str) -> Any:
        """Return an object's spec, or None."""
        stored = self._stored.get(kind, {}).get(name)
        return None if stored is None else stored['spec']

    async def compact_history(self) -> None:
        """Cut the watches, and answer those from earlier revisions by 410."""
        self._events.clear()
        self._history_from = self.revision
        async with self._changed:
            await self._changed.notify_all()

    async def _note(
        self,
        kind: str,
        stored: dict[str, Any],
        *,
        removed: bool,
    ) -> None:
        self._events.append(_Event(self.revision, kind, removed, stored))
        async with self._changed:
            await self._changed.notify_all()

    async def _answer(self, door: str, request: Request) -> Reply | None:
        self.calls[request.method] += 1
        fault = self.turned_away.get(door, self.fault)
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
        is_change = request.method != 'GET'
        if is_change and fault is StoreFault.ANSWERS_LOST:
            return None
        return reply

    async def _perform(self, request: Request) -> Reply:
        kind, _, name = request.path.removeprefix(_PREFIX).partition('/')
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
        known = self._stored.get(kind, {})
        names = sorted(name for name in known if name > after)
        shown = [known[name] for name in names[: self.page]]
        return Reply.from_json(
            {
                'items': shown,
                'morePages': len(names) > self.page,
                'currentRev': self.revision,
            },
        )

    async def _watch(self, request: Request, kind: str) -> Reply:
        self._watches += 1
        number = self._watches
        since = int(request.query['watch'])
        wait = int(request.query.get('waitMs') or 0) / _MS
        if since < self._history_from:
            return Reply.from_text('history is gone', _GONE)
        async with curio.ignore_after(wait):
            async with self._changed:
                while not self._has_news(kind, since):
                    await self._changed.wait()
        if number <= self._muted:
            await curio.sleep(HANG_DURATION_S)
        if since < self._history_from:
            return Reply.from_text('history is gone', _GONE)
        events = [
            {'removed': event.removed, 'object': event.stored}
            for event in self._find_events(kind, since)
        ]
        return Reply.from_json(
            {'events': events, 'currentRev': self.revision},
        )

    def _has_news(self, kind: str, since: int) -> bool:
        are_partitioned = since < self._history_from
        return are_partitioned or bool(self._find_events(kind, since))

    def _find_events(self, kind: str, since: int) -> list[_Event]:
        return [
            event
            for event in self._events
            if event.kind == kind and event.revision > since
        ]

    async def _put(self, request: Request, kind: str, name: str) -> Reply:
        body = json.loads(request.body)
        name = name or body['meta']['name']
        known = self._stored.get(kind, {}).get(name)
        if request.method == 'POST' and known is not None:
            return Reply.from_json(known, _CONFLICT)
        if request.method == 'PUT' and known is None:
            return Reply.from_text('no such object', _NOT_FOUND)
        wanted = body['meta'].get('revision')
        if known is not None and wanted not in {None, _read_revision(known)}:
            return Reply.from_json(known, _CONFLICT)
        if known is not None and known['spec'] == body['spec']:
            return Reply.from_json(known)
        await self.write(kind, name, body['spec'])
        return Reply.from_json(self._stored[kind][name])

    async def _delete(self, request: Request, kind: str, name: str) -> Reply:
        known = self._stored.get(kind, {}).get(name)
        if known is None:
            return Reply.from_text('no such object', _NOT_FOUND)
        wanted = int(request.query.get('revision', '0'))
        if wanted not in {0, _read_revision(known)}:
            return Reply.from_json(known, _CONFLICT)
        await self.drop(kind, name)
        return Reply.from_json(known)


def _read_revision(stored: dict[str, Any]) -> int:
    revision: int = stored['meta']['revision']
    return revision
