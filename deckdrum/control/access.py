"""Authorization of callers: which route, on behalf of which workspace."""

from dataclasses import dataclass

from deckdrum.control.records import Configuration, Route
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.workspaces import ANONYMOUS, Workspace


@dataclass(frozen=True, slots=True)
class Access:
    """A route that a caller may use, and the workspace it acts for."""

    route: Route
    workspace: Workspace


def authorize(
    configuration: Configuration | None,
    database: str,
    fingerprint: str,
) -> Access | Refusal:
    """Authorize a caller against a configuration.

    Parameters
    ----------
    configuration : Configuration or None
        The active configuration; without one, every caller is refused.
    database : str
        Database name given at connection time.
    fingerprint : str
        Fingerprint of the caller's key.
    """
    if configuration is None:
        return refuse(Code.NOT_READY)
    route = configuration.routes.get(database)
    if route is None:
        return refuse(Code.NOT_CONFIGURED, f'database {database}')
    directory = configuration.workspaces
    if directory is None:
        return Access(route, ANONYMOUS)
    workspace = directory.find_by_fingerprint(fingerprint)
    if workspace is not None:
        return Access(route, workspace)
    if route.is_public:
        return Access(route, ANONYMOUS)
    return refuse(Code.UNKNOWN_KEY, f'key {fingerprint} at {database}')
