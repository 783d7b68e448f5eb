"""A stand-in for the object API of the platform.

TEST STAND-IN: objects with versions, conditional updates and watches, and a
delayed list of instances.  Faults are slow answers, an outage, and answers lost
after the update was applied.  Calls are counted; a long poll counts as one.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Final

import curio
import msgspec

from deckdrum.store.records import Instance
from deckdrum.utils import Address
from deckdrum.utils.http import HttpServer, Reply, Request

_PATH_PREFIX: Final = '/objects/'
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 412
_MAX_BODY_BYTES: Final = 1_000_000
_TOO_LARGE: Final = 413


@dataclass(slots=True)
class PlatformFaults:
    """Faults that a test sets.

    Attributes
    ----------
    is_down : bool
        Whether connections are closed without an answer.
    delay : float
        Delay of each answer in seconds.
    lost_answers : int
        Number of upcoming updates that are applied without an answer.
    """

    is_down: bool = False
    delay: float = 0.002
    lost_answers: int = 0


@dataclass(slots=True)
class _Entry:
    version: int
    revision: int
    body: bytes


@dataclass(slots=True)
class _Listing:
    instances: dict[str, Instance] = field(default_factory=dict)
    revision: int = 0


class StandinPlatform:
    """HTTP server for the object API of the platform.

    Parameters
    ----------
    address : Address
        Address to listen on.
    list_lag : float
        Delay in seconds until a change of the list of instances is visible.
    """

    def __init__(self, address: Address, list_lag: float = 2.0) -> None:
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()
        self._server = HttpServer(address, self._handle_request)
        self._list_lag = list_lag
        self._entries: dict[str, _Entry] = {}
        self._listing = _Listing()
        self._revision = 0
        self._changed = curio.Condition()

    @property
    def address(self) -> Address:
        """Address on which the server listens."""
        return self._server.address

    async def start(self) -> None:
        """Start the server."""
        await self._server.start()

    async def close(self) -> None:
        """Stop the server."""
        await self._server.close()

    async def list_instance(
        self,
        instance: Instance,
        at_once: bool = False,
    ) -> None:
        """Add or change an instance; visible after `list_lag` or at once."""
        await curio.spawn(
            self._publish,
            instance.name,
            instance,
            0 if at_once else self._list_lag,
            daemon=True,
        )

    async def unlist_instance(self, name: str) -> None:
        """Remove an instance; visible after `list_lag`."""
        await curio.spawn(
            self._publish,
            name,
            None,
            self._list_lag,
            daemon=True,
        )

    def read_object(self, path: str) -> Any:
        """Return the decoded body of an object."""
        return json.loads(self._entries[path].body)

    async def _publish(
        self,
        name: str,
        instance: Instance | None,
        lag: float,
    ) -> None:
        await curio.sleep(lag)
        self._listing.instances.pop(name, None)
        if instance is not None:
            self._listing.instances[name] = instance
        self._revision += 1
        self._listing.revision = self._revision
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            await self._changed.notify_all()

    async def _handle_request(self, request: Request) -> Reply | None:
        kind = 'watch' if request.path == '/watch' else request.method
        self.calls[kind] += 1
        if self.faults.is_down:
            return None
        await curio.sleep(self.faults.delay)
        if kind == 'watch':
            return await self._watch(request)
        if not request.path.startswith(_PATH_PREFIX):
            return Reply(_NOT_FOUND)
        path = request.path[len(_PATH_PREFIX) :]
        if request.method == 'PUT':
            return await self._put(path, request)
        return self._get(path)

    def _get(self, path: str) -> Reply:
        entry = self._entries.get(path)
        if entry is None:
            return Reply(_NOT_FOUND)
        return Reply(_OK, entry.body, {'etag': f'"{entry.version}"'})

    async def _put(self, path: str, request: Request) -> Reply | None:
        if len(request.body) > _MAX_BODY_BYTES:
            return Reply(_TOO_LARGE)
        current = self._entries.get(path)
        version = 0 if current is None else current.version
        expected_version = request.headers.get('if-match', '"0"').strip('"')
        if str(version) != expected_version:
            return Reply(_CONFLICT)
        self._revision += 1
        version += 1
        entry = _Entry(version, self._revision, request.body)
        self._entries[path] = entry
        await self._notify()
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return None
        return Reply(_OK, b'', {'etag': f'"{version}"'})

    async def _watch(self, request: Request) -> Reply | None:
        since = int(request.query['since'])
        if since > self._revision:
            since = 0
        async with curio.ignore_after(float(request.query['wait'])):
            async with self._changed:
                while self._revision <= since:
                    await self._changed.wait()
        if self.faults.is_down:
            return None
        is_listing_newer = self._listing.revision > since
        listed = self._listing.instances.values()
        return Reply.from_json(
            {
                'revision': self._revision,
                'objects': [
                    {
                        'path': path,
                        'version': entry.version,
                        'body': json.loads(entry.body),
                    }
                    for path, entry in self._entries.items()
                    if entry.revision > since
                ],
                'instances': (
                    [msgspec.to_builtins(each) for each in listed]
                    if is_listing_newer
                    else None
                ),
            }
        )
