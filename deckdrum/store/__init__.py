"""The platform's object API: what lasts and what is agreed."""

from deckdrum.store.objects import (
    Changes,
    Conflict,
    ObjectStore,
    Stored,
    StoredObject,
)
from deckdrum.store.records import (
    ConfigurationRecord,
    GroupRecord,
    Instance,
    InstanceState,
    Phase,
)

__all__ = [
    'Changes',
    'ConfigurationRecord',
    'Conflict',
    'GroupRecord',
    'Instance',
    'InstanceState',
    'ObjectStore',
    'Phase',
    'Stored',
    'StoredObject',
]
