"""Workspaces and their keys.

A key is secret: it is replaced by its fingerprint on arrival, and only the
fingerprint is stored, logged or sent to other nodes.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

#: Length of a fingerprint; enough to make collisions negligible.
_FINGERPRINT_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer whose callers share connections and a rate limit.

    Attributes
    ----------
    name : str
        Unique name; sent to the backend server with each connection.
    rate : float or None
        Rate limit over all nodes, in operations per second; None if unlimited.
    burst : float
        Operations that may start at once after an idle period.
    """

    name: str
    rate: float | None = None
    burst: float = 0


#: Workspace of callers without a key, on deployments or routes that need none.
ANONYMOUS: Final = Workspace('')


@dataclass(frozen=True, slots=True)
class WorkspaceDirectory:
    """The workspaces of one configuration.

    Attributes
    ----------
    workspaces : mapping of str to Workspace
        By name.
    names_by_fingerprint : mapping of str to str
        Names of workspaces by the fingerprints of their keys.

    Examples
    --------
    >>> fingerprint = fingerprint_key('nirth5mgjy5rcpihhacr')
    >>> directory = WorkspaceDirectory(
    ...     {'growers': Workspace('growers')},
    ...     {fingerprint: 'growers'},
    ... )
    >>> directory.find_by_fingerprint(fingerprint).name
    'growers'
    >>> directory.find_by_fingerprint(fingerprint_key('another'))
    """

    workspaces: Mapping[str, Workspace]
    names_by_fingerprint: Mapping[str, str]

    def find_by_fingerprint(self, fingerprint: str) -> Workspace | None:
        """Return the workspace of the key with a fingerprint, or None."""
        name = self.names_by_fingerprint.get(fingerprint)
        return None if name is None else self.workspaces.get(name)


def fingerprint_key(key: str) -> str:
    """Return the fingerprint of a key, from which it cannot be recovered.

    Examples
    --------
    >>> len(fingerprint_key('nirth5mgjy5rcpihhacr'))
    32
    """
    digest = hashlib.blake2b(key.encode(), digest_size=_FINGERPRINT_BYTES)
    return digest.hexdigest()
