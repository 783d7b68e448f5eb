"""Client of the platform's object store over HTTP."""

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

#: Timeout of calls other than watches.
STORE_CALL_TIMEOUT_S: Final = 1.0
#: Time allowed for a watch beyond the wait that it requests.
WATCH_MARGIN_S: Final = 1.5
MAX_LOGGED_REASON_CHARACTERS: Final = 200
_MS: Final = 1000
_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
#: Statuses of refused calls, which cost quota without effect.
_REFUSED: Final = frozenset((429, 503))
_Decoded = TypeVar('_Decoded')


class PlatformStore(ControlStore):
    """Client of the platform's object store.

    Parameters
    ----------
    address : Address
        Address of the store.
    journal : Journal
        Logs objects that cannot be decoded.
    counters : Counters
        Counts calls by operation, kind and outcome.
    """

    def __init__(
        self,
        address: Address,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self._client = HttpClient(address)
        self._watch_client = HttpClient(address)
        self._journal = journal
        self._counters = counters

    async def list_records(self, kind: Kind) -> Listing:
        """Return all records of a kind, read page by page.

        The revision is that of the first page: a watch from there reports
        changes made while the later pages were read.
        """
        entries: list[Entry] = []
        path = _build_path(kind)
        revision = 0
        while True:
            reply = await self._call('list', kind, Request('GET', path))
            page = _decode(_get_body(reply), ObjectList)
            found = [self._decode_entry(kind, each) for each in page.found]
            entries.extend(entry for entry in found if entry is not None)
            revision = revision or page.current_rev
            last = _find_last_name(page)
            if not page.more_pages or not last:
                return Listing(revision, tuple(entries))
            path = f'{_build_path(kind)}?{urlencode({"after": last})}'

    async def watch(self, kind: Kind, revision: int, wait: float) -> Changes:
        """Long-poll for changes after `revision`, for up to `wait` seconds."""
        query = {'watch': revision, 'waitMs': int(wait * _MS)}
        return await self._read_changes(
            'watch', kind, query, wait + WATCH_MARGIN_S
        )

    async def peek(self, kind: Kind, revision: int) -> Changes:
        """Return changes after `revision`; costs a tenth of a watch."""
        query = {'watch': revision, 'waitMs': 0, 'allowStale': 1}
        return await self._read_changes(
            'peek', kind, query, STORE_CALL_TIMEOUT_S
        )

    async def fetch(self, kind: Kind, name: str) -> Entry | None:
        """Fetch the current record, or None if it does not exist."""
        request = Request('GET', _build_path(kind, name))
        reply = await self._call('fetch', kind, request)
        if reply.status == _NOT_FOUND:
            return None
        found = self._decode_entry(kind, msgspec.Raw(_get_body(reply)))
        # The object exists, even if its name cannot be decoded.
        return found or Entry(name, 0, None)

    async def put(
        self,
        kind: Kind,
        name: str,
        record: GroupRecord | Member,
        revision: int,
    ) -> Stored | Conflict:
        """Store a record if its revision is `revision`; 0 creates it."""
        meta: dict[str, Any] = {'name': name}
        method, path = 'POST', _build_path(kind)
        if revision:
            method, path = 'PUT', _build_path(kind, name)
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
        stored = _decode(_get_body(reply), StoreObject)
        return Stored(stored.meta.revision)

    async def remove(self, kind: Kind, name: str, revision: int) -> bool:
        """Remove a record if it is at `revision`; return whether done."""
        query = urlencode({'revision': revision})
        path = f'{_build_path(kind, name)}?{query}'
        reply = await self._call('remove', kind, Request('DELETE', path))
        return reply.status == _OK

    def decode_configuration(self, encoded: bytes) -> Configuration:
        """Decode a configuration received from a peer."""
        return decode_configuration(encoded)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
        await self._watch_client.close()

    async def _read_changes(
        self,
        call: str,
        kind: Kind,
        query: dict[str, int],
        timeout: float,
    ) -> Changes:
        request = Request('GET', f'{_build_path(kind)}?{urlencode(query)}')
        reply = await self._call(call, kind, request, timeout)
        if reply.status == _GONE:
            revision = query['watch']
            raise HistoryGoneError(
                f'the store has discarded changes after revision {revision}'
            )
        changes = _decode(_get_body(reply), EventList)
        entries = [
            self._decode_entry(kind, event.object, is_removed=event.removed)
            for event in changes.events
        ]
        named = tuple(entry for entry in entries if entry is not None)
        return Changes(changes.current_rev, named)

    async def _call(
        self,
        call: str,
        kind: Kind,
        request: Request,
        timeout: float = STORE_CALL_TIMEOUT_S,
    ) -> Reply:
        """Make a call and count it by its outcome."""
        client = self._watch_client if call == 'watch' else self._client
        outcome = 'lost'
        try:
            reply = await client.call(request, timeout)
            outcome = 'refused' if reply.status in _REFUSED else 'answered'
        except ConnectionError as error:
            raise StoreError(f'no response from the store: {error}') from error
        finally:
            self._counters.count_store_call(call, kind, outcome)
        return reply

    def _decode_entry(
        self,
        kind: Kind,
        encoded: msgspec.Raw,
        *,
        is_removed: bool = False,
    ) -> Entry | None:
        """Return an object as an entry, or None if it has no name or is unused.

        An object that cannot be decoded gives an entry without a record, as if
        removed, so that its earlier record is no longer used.
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
    """Return the last decodable name on a page; empty if there is none."""
    names = [read_name(each) for each in page.found]
    return next((name for name in reversed(names) if name), '')


def _build_path(kind: Kind, name: str = '') -> str:
    path = f'/-/objects/{KIND_NAMES[kind]}'
    return f'{path}/{quote(name, safe="")}' if name else path


def _get_body(reply: Reply) -> bytes:
    if reply.status not in {_OK, _CREATED}:
        raise StoreError(f'the store responded with HTTP status {reply.status}')
    return reply.body


def _decode(body: bytes, expected: type[_Decoded]) -> _Decoded:
    try:
        return decode_answer(body, expected)
    except DECODING_ERRORS as error:
        name = expected.__name__
        raise StoreError(f'invalid {name} from the store: {error}') from error
