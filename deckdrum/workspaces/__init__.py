"""Workspaces: whose keys open which routes, and how much each may ask for."""

from deckdrum.workspaces.records import (
    NOBODY,
    Workspace,
    WorkspaceBook,
    fingerprint_key,
)

__all__ = [
    'NOBODY',
    'Workspace',
    'WorkspaceBook',
    'fingerprint_key',
]
