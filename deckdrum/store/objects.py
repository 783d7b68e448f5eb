"""Interface of the platform's object API, and its HTTP client."""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import quote, urlencode

from deckdrum.outcomes.errors import StoreError
from deckdrum.store.records import Instance
from deckdrum.utils import Address
from deckdrum.utils.http import HttpClient, Reply, Request

#: Timeout of a call other than a watch, in seconds.
CALL_TIMEOUT_S: Final = 2.0
#: Time allowed for a watch beyond its requested wait, in seconds.
_WATCH_MARGIN_S: Final = 2.0
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 412


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object and its version, the precondition of a conditional update."""

    path: str
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Stored:
    """Success of a conditional update."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Refusal of a conditional update: the object's version has changed."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to `revision`.

    `instances` is None if the list of instances did not change.
    """

    revision: int
    entries: tuple[StoredObject, ...]
    instances: tuple[Instance, ...] | None


class ObjectStore(ABC):
    """The platform's object API.

    Every method raises `StoreError` if the platform did not respond.  A write
    may have taken effect nevertheless; the caller then reads the object and
    compares its operation id.
    """

    #: Number of calls made; a watch counts as one.
    calls: int = 0

    @abstractmethod
    async def fetch(self, path: str) -> StoredObject | None:
        """Return an object, or None if there is none."""

    @abstractmethod
    async def put(
        self,
        path: str,
        body: bytes,
        version: int,
    ) -> Stored | Conflict:
        """Store an object if its version is still `version`; 0 creates."""

    @abstractmethod
    async def watch(self, revision: int, wait: float) -> Changes:
        """Long-poll for changes after `revision`, for up to `wait` seconds."""


class HttpObjectStore(ObjectStore):
    """The object API over HTTP."""

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address)
        self._watch_client = HttpClient(address)
        self.calls = 0

    async def fetch(self, path: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        reply = await self._call(Request('GET', _build_target(path)))
        if reply.status == _NOT_FOUND:
            return None
        _check_status(reply)
        version = int(reply.headers.get('etag', '0').strip('"'))
        return StoredObject(path, version, reply.body)

    async def put(
        self,
        path: str,
        body: bytes,
        version: int,
    ) -> Stored | Conflict:
        """Store an object if its version is still `version`; 0 creates."""
        headers = {'if-match': f'"{version}"'}
        if version == 0:
            headers = {'if-none-match': '*'}
        request = Request('PUT', _build_target(path), {}, headers, body)
        reply = await self._call(request)
        if reply.status == _CONFLICT:
            return Conflict()
        _check_status(reply)
        return Stored(int(reply.headers.get('etag', '0').strip('"')))

    async def watch(self, revision: int, wait: float) -> Changes:
        """Long-poll for changes after `revision`, for up to `wait` seconds."""
        query = urlencode({'since': revision, 'wait': wait})
        self.calls += 1
        try:
            reply = await self._watch_client.call(
                Request('GET', f'/watch?{query}'),
                wait + _WATCH_MARGIN_S,
            )
        except ConnectionError as error:
            raise StoreError(f'watch failed: {error}') from error
        _check_status(reply)
        return _decode_changes(reply.read_json())

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
        await self._watch_client.close()

    async def _call(self, request: Request) -> Reply:
        self.calls += 1
        try:
            return await self._client.call(request, CALL_TIMEOUT_S)
        except ConnectionError as error:
            raise StoreError(f'object API did not respond: {error}') from error


def _build_target(path: str) -> str:
    return f'/objects/{quote(path)}'


def _check_status(reply: Reply) -> None:
    if reply.status != _OK:
        raise StoreError(f'object API returned HTTP status {reply.status}')


def _decode_changes(raw: Any) -> Changes:
    try:
        return Changes(
            raw['revision'],
            tuple(
                StoredObject(
                    entry['path'],
                    entry['version'],
                    json.dumps(entry['body']).encode(),
                )
                for entry in raw['objects']
            ),
            _decode_instances(raw['instances']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise StoreError('malformed response to a watch') from error


def _decode_instances(raw: Any) -> tuple[Instance, ...] | None:
    if raw is None:
        return None
    return tuple(Instance.convert(entry) for entry in raw)
