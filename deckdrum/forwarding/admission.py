"""Access check of statements that other nodes forward to a holder.

The configuration of either node may be newer.  A statement that the holder's
configuration forbids is never run; one that only a newer configuration allows
is refused until the holder has that version.
"""

from deckdrum.control import Access, Configuration, Route, authorize
from deckdrum.fleet.node_messages import Forward
from deckdrum.outcomes import Code, Refusal, refuse


def check_forward(
    configuration: Configuration | None,
    message: Forward,
    route: Route,
) -> Refusal | None:
    """Return the refusal of a forwarded statement, None if it may run.

    Parameters
    ----------
    configuration : Configuration or None
        The current configuration of this node.
    message : Forward
        The statement, with the workspace that the sender has found.
    route : Route
        The route that the sender has found.
    """
    if configuration is None:
        return refuse(Code.NOT_READY, 'no configuration here yet')
    is_older = configuration.version < message.version
    if is_older and configuration.workspaces is None:
        return None
    access = authorize(configuration, route.database, message.fingerprint)
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
