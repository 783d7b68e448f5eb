"""Client of the platform's object API and a proxy's view of its objects."""

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
