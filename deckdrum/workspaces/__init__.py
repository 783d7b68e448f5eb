"""Workspaces: whose keys open which routes, and how much each may ask for."""

from deckdrum.workspaces.records import (
    ANONYMOUS,
    Workspace,
    WorkspaceDirectory,
    fingerprint_key,
)

__all__ = [
    'ANONYMOUS',
    'Workspace',
    'WorkspaceDirectory',
    'fingerprint_key',
]
