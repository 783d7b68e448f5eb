"""What a batch needs of the database that runs it."""

from enum import StrEnum


class Access(StrEnum):
    """How a batch may be routed."""

    #: Runs on the primary and is confirmed by a majority.
    WRITE = 'write'
    #: Sees every change acknowledged before it began.
    CURRENT = 'current'
    #: May see data of a declared age, but never less than the session saw.
    BOUNDED_STALENESS = 'aged'
