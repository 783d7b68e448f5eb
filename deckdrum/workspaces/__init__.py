"""Workspaces: API keys and rate limits of customers."""

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
