"""The platform's store over HTTP."""

from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from deckdrum.control import (
    Changes,
    Configuration,
    ControlStore,
    Entry,
    HistoryGoneError,
    Kind,
    Listing,
    Member,
)
from deckdrum.outcomes.errors import StoreError
from deckdrum.platform.configuration import decode_configuration
from deckdrum.platform.records import (
    CONFIGURATION_NAME,
    DECODING_ERRORS,
    KIND_NAMES,
    EventList,
    ObjectList,
    StoreObject,
    decode_answer,
    encode_record,
    read_name,
    read_object,
)
from deckdrum.store.objects import Conflict, Stored
from deckdrum.store.records import GroupRecord
from deckdrum.utils import Address, Journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.http import HttpClient, Reply, Request

#: Longest wait for the answer to a plain call, in seconds.  The store answers
#: in 4 ms; on slow days it takes up to a hundred times as long.
STORE_CALL_TIMEOUT_S: Final = 1.0
#: What a watch may take beyond its own wait, in seconds.
WATCH_MARGIN_S: Final = 1.5
#: Characters of the reason why an object cannot be read that the log keeps.
MAX_LOGGED_REASON_CHARACTERS: Final = 200
_MS: Final = 1000
_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
#: Statuses of calls that were paid for and did nothing.
_REFUSED: Final = frozenset((429, 503))
_Decoded = TypeVar('_Decoded')


class PlatformStore(ControlStore):
    """The platform's store.

    Parameters
    ----------
    address : Address
        Where it answers.
    journal : Journal
        For objects that cannot be read.
    counters : Counters
        Counts calls by what they do.
    """

    def __init__(
        self,
        address: Address,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self._client = HttpClient(address)
        self._watching = HttpClient(address)
        self._journal = journal
        self._counters = counters

    async def list_records(self, kind: Kind) -> Listing:
        """Return every record of a kind, page by page.

        The revision is that of the first page: what changes on it while the
        others are read is told by the watch from there.
        """
        entries: list[Entry] = []
        path = _locate(kind)
        revision = 0
        while True:
            reply = await self._call('list', kind, Request('GET', path))
            page = _decode(_check(reply), ObjectList)
            found = [self._read(kind, each) for each in page.found]
            entries.extend(entry for entry in found if entry is not None)
            revision = revision or page.current_rev
            last = _find_last_name(page)
            if not page.more_pages or not last:
                return Listing(revision, tuple(entries))
            path = f'{_locate(kind)}?{urlencode({"after": last})}'

    async def watch(self, kind: Kind, revision: int, wait: float) -> Changes:
        """Return what changed after `revision`."""
        query = {'watch': revision, 'waitMs': int(wait * _MS)}
        return await self._read_changes(
            'watch', kind, query, wait + WATCH_MARGIN_S
        )

    async def peek(self, kind: Kind, revision: int) -> Changes:
        """Return what changed after `revision`, for a tenth of the price."""
        query = {'watch': revision, 'waitMs': 0, 'allowStale': 1}
        return await self._read_changes(
            'peek', kind, query, STORE_CALL_TIMEOUT_S
        )

    async def fetch(self, kind: Kind, name: str) -> Entry | None:
        """Return a record as it is now, or None if there is none."""
        request = Request('GET', _locate(kind, name))
        reply = await self._call('fetch', kind, request)
        if reply.status == _NOT_FOUND:
            return None
        found = self._read(kind, msgspec.Raw(_check(reply)))
        # Something lies there, though not even its name can be read.
        return found or Entry(name, 0, None)

    async def put(
        self,
        kind: Kind,
        name: str,
        record: GroupRecord | Member,
        revision: int,
    ) -> Stored | Conflict:
        """Store a record if it still has `revision`; 0 creates it."""
        meta: dict[str, Any] = {'name': name}
        method, path = 'POST', _locate(kind)
        if revision:
            method, path = 'PUT', _locate(kind, name)
            meta['revision'] = revision
        body = {
            'meta': {**meta, 'finalizers': []},
            'spec': encode_record(record),
        }
        encoded = msgspec.json.encode(body)
        headers = {'content-type': 'application/json'}
        request = Request(method, path, {}, headers, encoded)
        reply = await self._call('put', kind, request)
        if reply.status in {_CONFLICT, _NOT_FOUND}:
            return Conflict()
        stored = _decode(_check(reply), StoreObject)
        return Stored(stored.meta.revision)

    async def remove(self, kind: Kind, name: str, revision: int) -> bool:
        """Remove a record if it still has `revision`; tell whether done."""
        query = urlencode({'revision': revision})
        path = f'{_locate(kind, name)}?{query}'
        reply = await self._call('remove', kind, Request('DELETE', path))
        return reply.status == _OK

    def decode_configuration(self, encoded: bytes) -> Configuration:
        """Return a configuration that a peer has handed over."""
        return decode_configuration(encoded)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
        await self._watching.close()

    async def _read_changes(
        self,
        call: str,
        kind: Kind,
        query: dict[str, int],
        limit: float,
    ) -> Changes:
        request = Request('GET', f'{_locate(kind)}?{urlencode(query)}')
        reply = await self._call(call, kind, request, limit)
        if reply.status == _GONE:
            revision = query['watch']
            raise HistoryGoneError(f'no history since {revision}')
        found = _decode(_check(reply), EventList)
        entries = [
            self._read(kind, event.object, is_removed=event.removed)
            for event in found.events
        ]
        known = tuple(entry for entry in entries if entry is not None)
        return Changes(found.current_rev, known)

    async def _call(
        self,
        call: str,
        kind: Kind,
        request: Request,
        limit: float = STORE_CALL_TIMEOUT_S,
    ) -> Reply:
        """Make one call, and count it by what came of it."""
        client = self._watching if call == 'watch' else self._client
        outcome = 'lost'
        try:
            reply = await client.call(request, limit)
            outcome = 'refused' if reply.status in _REFUSED else 'answered'
        except ConnectionError as error:
            raise StoreError(f'no answer: {error}') from error
        finally:
            self._counters.count_store_call(call, kind, outcome)
        return reply

    def _read(
        self,
        kind: Kind,
        encoded: msgspec.Raw,
        *,
        is_removed: bool = False,
    ) -> Entry | None:
        """Return an object as an entry; None if it has no name or is no use.

        One that cannot be read names no record, like one that was removed:
        what it said before does not hold any more.
        """
        found = read_object(kind, encoded)
        if kind is Kind.CONFIGURATION and found.name != CONFIGURATION_NAME:
            return None
        if is_removed:
            return Entry(found.name, found.revision, None)
        if found.fault:
            self._counters.count('unreadable_records')
            self._journal.record_rate_limited(
                'store.unreadable_record',
                kind=kind,
                name=found.name,
                revision=found.revision,
                reason=found.fault[:MAX_LOGGED_REASON_CHARACTERS],
            )
        return found.entry if found.name else None


def _find_last_name(page: ObjectList) -> str:
    """Return the name after which the next page begins; empty without any."""
    names = [read_name(each) for each in page.found]
    return next((name for name in reversed(names) if name), '')


def _locate(kind: Kind, name: str = '') -> str:
    path = f'/-/objects/{KIND_NAMES[kind]}'
    return f'{path}/{quote(name, safe="")}' if name else path


def _check(reply: Reply) -> bytes:
    if reply.status not in {_OK, _CREATED}:
        raise StoreError(f'the store answered {reply.status}')
    return reply.body


def _decode(body: bytes, expected: type[_Decoded]) -> _Decoded:
    try:
        return decode_answer(body, expected)
    except DECODING_ERRORS as error:
        name = expected.__name__
        raise StoreError(f'the store sent no {name}: {error}') from error
