"""Whether a caller may use a route now, and for which workspace."""

from dataclasses import dataclass

from deckdrum.control.records import Configuration, Route
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.workspaces import ANONYMOUS, Workspace


@dataclass(frozen=True, slots=True)
class Access:
    """What a caller may use: a route, on behalf of a workspace."""

    route: Route
    workspace: Workspace


def find_access(
    configuration: Configuration | None,
    database: str,
    fingerprint: str,
) -> Access | Refusal:
    """Return what a caller may use by one configuration.

    Parameters
    ----------
    configuration : Configuration or None
        The one in force; without any nothing may be used.
    database : str
        Name that the caller has connected to.
    fingerprint : str
        Of the caller's key.
    """
    if configuration is None:
        return refuse(Code.NOT_READY)
    route = configuration.routes.get(database)
    if route is None:
        return refuse(Code.NOT_CONFIGURED, f'database {database}')
    book = configuration.workspaces
    if book is None:
        return Access(route, ANONYMOUS)
    workspace = book.find_by_fingerprint(fingerprint)
    if workspace is not None:
        return Access(route, workspace)
    if route.is_public:
        return Access(route, ANONYMOUS)
    return refuse(Code.UNKNOWN_KEY, f'key {fingerprint} at {database}')
