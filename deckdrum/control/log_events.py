"""How the log tells of a record that a node has taken over."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from deckdrum.backends.base import BackendServer
from deckdrum.control.store import Record
from deckdrum.store.records import GroupRecord, Phase

_Description = tuple[str, dict[str, Any]]


def describe_record(
    record: Record,
    revision: int,
    source: str,
) -> _Description | None:
    """Return event and fields for the log; None for other records.

    `source` is who has told of it: the store, or a peer's address.
    """
    describe = _DESCRIBERS.get(type(record))
    if describe is None:
        return None
    event, fields = describe(record, revision)
    return event, {**fields, 'told_by': source}


def _describe_server(server: BackendServer, revision: int) -> _Description:
    return 'server.listed', {
        'server': server.id,
        'service': server.service,
        'address': str(server.address),
        'role': server.role,
        'draining': server.is_draining,
        'started_at': server.started_at,
        'revision': revision,
    }


def _describe_group(record: GroupRecord, revision: int) -> _Description:
    return 'leadership.recorded', {
        'service': record.service,
        'term': record.term,
        'primary': record.primary,
        'settled': record.phase is Phase.SETTLED,
        'driver': record.driver,
        'revision': revision,
    }


_Describers = MappingProxyType[type, Callable[[Any, int], _Description]]
_DESCRIBERS: Final[_Describers] = MappingProxyType(
    {
        BackendServer: _describe_server,
        GroupRecord: _describe_group,
    },
)
