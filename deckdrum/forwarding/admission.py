"""Whether a holder runs what another node hands to it.

Both nodes have a configuration, and either may be the newer one.  What the
holder's own forbids is never run; what only the other node's allows is run by
a holder that has that version.
"""

from deckdrum.control import Access, Configuration, Route, find_access
from deckdrum.fleet.node_messages import Forward
from deckdrum.outcomes import Code, Refusal, refuse


def check_forward(
    configuration: Configuration | None,
    message: Forward,
    route: Route,
) -> Refusal | None:
    """Return why a statement is not run here, None if it may be.

    Parameters
    ----------
    configuration : Configuration or None
        The one in force at this node.
    message : Forward
        The statement, with the workspace that the other node has found.
    route : Route
        The route that the other node has found.
    """
    if configuration is None:
        return refuse(Code.NOT_READY, 'no configuration here yet')
    is_older = configuration.version < message.version
    if is_older and configuration.workspaces is None:
        return None
    access = find_access(configuration, route.database, message.fingerprint)
    if isinstance(access, Access):
        is_same = (
            access.route.service == route.service
            and access.workspace.name == message.workspace
        )
        if is_same:
            return None
    elif not is_older:
        return access
    return refuse(
        Code.NOT_READY,
        f'version {message.version} there, {configuration.version} here',
    )
