"""Base class of the messages between nodes."""

from msgspec import Struct


class Message(Struct, frozen=True):
    """Base class of all messages.

    Structs are much faster to define than data classes, which shortens the
    start of a process.
    """
