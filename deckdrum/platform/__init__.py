"""The platform's object API: what lasts and what is agreed."""

from deckdrum.platform.records import (
    ConfigurationRecord,
    GroupRecord,
    Instance,
    InstanceState,
    Phase,
)
from deckdrum.platform.store import (
    Changes,
    Conflict,
    ObjectStore,
    Stored,
    StoredObject,
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
