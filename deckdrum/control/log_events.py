"""Log events for the records that a node applies to its view."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from deckdrum.backends.base import BackendServer
from deckdrum.control.store import Record
from deckdrum.store.records import GroupRecord, Phase

_LogEvent = tuple[str, dict[str, Any]]


def build_log_event(
    record: Record,
    revision: int,
    source: str,
) -> _LogEvent | None:
    """Return the log event and its fields, or None if the type is not logged.

    `source` is where the record came from: the store, or a peer's address.
    """
    build_event = _EVENT_BUILDERS.get(type(record))
    if build_event is None:
        return None
    event, fields = build_event(record, revision)
    return event, {**fields, 'told_by': source}


def _describe_server(server: BackendServer, revision: int) -> _LogEvent:
    return 'server.listed', {
        'server': server.id,
        'service': server.service,
        'address': str(server.address),
        'role': server.role,
        'draining': server.is_draining,
        'started_at': server.started_at,
        'revision': revision,
    }


def _describe_group(record: GroupRecord, revision: int) -> _LogEvent:
    return 'leadership.recorded', {
        'service': record.service,
        'term': record.term,
        'primary': record.primary,
        'settled': record.phase is Phase.SETTLED,
        'driver': record.driver,
        'revision': revision,
    }


_EventBuilders = MappingProxyType[type, Callable[[Any, int], _LogEvent]]
_EVENT_BUILDERS: Final[_EventBuilders] = MappingProxyType(
    {
        BackendServer: _describe_server,
        GroupRecord: _describe_group,
    },
)
