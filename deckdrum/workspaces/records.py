"""Workspaces and their keys.

A key is secret: it is turned into a fingerprint where it comes in, and only
the fingerprint is kept, logged or sent to another node.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

#: Bytes of a fingerprint: no two keys of a deployment share one.
_FINGERPRINT_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer whose callers share connections and a limit.

    Attributes
    ----------
    name : str
        Unique; servers are told it with each connection.
    rate : float or None
        Operations a second that all nodes together may begin; None without a
        limit.
    burst : float
        Operations that may be begun at once after a pause.
    """

    name: str
    rate: float | None = None
    burst: float = 0


#: Stands for the callers of deployments and routes that ask for no key.
ANONYMOUS: Final = Workspace('')


@dataclass(frozen=True, slots=True)
class WorkspaceDirectory:
    """The workspaces of one configuration.

    Attributes
    ----------
    workspaces : mapping of str to Workspace
        By name.
    holders : mapping of str to str
        Names of workspaces by the fingerprints of their keys.

    Examples
    --------
    >>> print_of_key = fingerprint_key('nirth5mgjy5rcpihhacr')
    >>> book = WorkspaceDirectory(
    ...     {'growers': Workspace('growers')},
    ...     {print_of_key: 'growers'},
    ... )
    >>> book.find_by_fingerprint(print_of_key).name
    'growers'
    >>> book.find_by_fingerprint(fingerprint_key('another'))
    """

    workspaces: Mapping[str, Workspace]
    holders: Mapping[str, str]

    def find_by_fingerprint(self, fingerprint: str) -> Workspace | None:
        """Return the workspace that holds a key now, if any does."""
        name = self.holders.get(fingerprint)
        return None if name is None else self.workspaces.get(name)


def fingerprint_key(key: str) -> str:
    """Return what stands for a key; the key cannot be found from it.

    Examples
    --------
    >>> len(fingerprint_key('nirth5mgjy5rcpihhacr'))
    32
    """
    digest = hashlib.blake2b(key.encode(), digest_size=_FINGERPRINT_BYTES)
    return digest.hexdigest()
