"""The base of the messages between nodes."""


class Message:
    """Base of the messages."""

    __slots__ = ()
