"""A stand-in for the platform's object API.

TEST STAND-IN: objects with versions, conditional updates and watches, and a
lagging list of instances.  It can be slow or down, or lose an answer after
the change took effect.  Each call is counted, a waiting watch as one.
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

_PREFIX: Final = '/objects/'
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 412
_MAX_BYTES: Final = 1_000_000
_TOO_LARGE: Final = 413


@dataclass(slots=True)
class PlatformFaults:
    """Faults that a test sets.

    Attributes
    ----------
    down : bool
        Connections are dropped without an answer.
    delay : float
        Seconds before each answer.
    lost_answers : int
        Updates still to come whose answer is lost after they took effect.
    """

    down: bool = False
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
    """The platform.

    Parameters
    ----------
    address : Address
        Where to listen.
    list_lag : float
        Seconds by which the list of instances lags.
    """

    def __init__(self, address: Address, list_lag: float = 2.0) -> None:
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()
        self._server = HttpServer(address, self._answer)
        self._list_lag = list_lag
        self._entries: dict[str, _Entry] = {}
        self._listing = _Listing()
        self._revision = 0
        self._changed = curio.Condition()

    @property
    def address(self) -> Address:
        """Where the platform listens."""
        return self._server.address

    async def start(self) -> None:
        """Begin to listen."""
        await self._server.start()

    async def close(self) -> None:
        """Stop to listen."""
        await self._server.close()

    async def list_instance(
        self,
        instance: Instance,
        at_once: bool = False,
    ) -> None:
        """Add or change an instance; visible after the lag."""
        await curio.spawn(
            self._publish,
            instance.name,
            instance,
            0 if at_once else self._list_lag,
            daemon=True,
        )

    async def unlist_instance(self, name: str) -> None:
        """Remove an instance; visible after the lag."""
        await curio.spawn(
            self._publish,
            name,
            None,
            self._list_lag,
            daemon=True,
        )

    def read_object(self, path: str) -> Any:
        """Return the decoded body of an object, for checks by a test."""
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

    async def _answer(self, request: Request) -> Reply | None:
        kind = 'watch' if request.path == '/watch' else request.method
        self.calls[kind] += 1
        if self.faults.down:
            return None
        await curio.sleep(self.faults.delay)
        if kind == 'watch':
            return await self._watch(request)
        if not request.path.startswith(_PREFIX):
            return Reply(_NOT_FOUND)
        path = request.path[len(_PREFIX) :]
        if request.method == 'PUT':
            return await self._put(path, request)
        return self._get(path)

    def _get(self, path: str) -> Reply:
        entry = self._entries.get(path)
        if entry is None:
            return Reply(_NOT_FOUND)
        return Reply(_OK, entry.body, {'etag': f'"{entry.version}"'})

    async def _put(self, path: str, request: Request) -> Reply | None:
        if len(request.body) > _MAX_BYTES:
            return Reply(_TOO_LARGE)
        known = self._entries.get(path)
        version = 0 if known is None else known.version
        wanted = request.headers.get('if-match', '"0"').strip('"')
        if str(version) != wanted:
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
        if self.faults.down:
            return None
        is_new = self._listing.revision > since
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
                    if is_new
                    else None
                ),
            }
        )
