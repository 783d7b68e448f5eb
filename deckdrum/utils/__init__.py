"""Helpers shared by the subpackages: streams, HTTP, logs and virtual time."""

from deckdrum.utils.journal import Journal, open_journal
from deckdrum.utils.streams import Address, ByteStream, Listener, Stream, dial

__all__ = [
    'Address',
    'ByteStream',
    'Journal',
    'Listener',
    'Stream',
    'dial',
    'open_journal',
]
