"""Framing, encoding and decoding of PostgreSQL protocol messages."""

from deckdrum.wire.frames import Frame, FrameReader, WireError
from deckdrum.wire.messages import (
    decode_frontend,
    encode_error,
    encode_parameter_status,
    encode_ready_for_query,
)

__all__ = [
    'Frame',
    'FrameReader',
    'WireError',
    'decode_frontend',
    'encode_error',
    'encode_parameter_status',
    'encode_ready_for_query',
]
