"""Base class of the messages between nodes."""

from msgspec import Struct


class Message(Struct, frozen=True):
    """Base class of all messages.

    Messages are structs rather than data classes because struct classes are
    much faster to define, which shortens the start of a process.
    """
