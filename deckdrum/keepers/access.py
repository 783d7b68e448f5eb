"""Consistency that a batch requires of its database."""

from enum import StrEnum


class Access(StrEnum):
    """Access mode of a batch, which decides how it may be routed."""

    #: Runs on the primary; confirmed by a majority.
    WRITE = 'write'
    #: Reads every change that was acknowledged before the batch started.
    CURRENT = 'current'
    #: May read stale data up to a maximum age, but never older than what the
    #: session has already seen.
    BOUNDED_STALENESS = 'aged'
