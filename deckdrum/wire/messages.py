"""Encoding and decoding of single messages with `pygwire`."""

import struct
from typing import Any, Final

from pygwire import ConnectionPhase, PygwireError
from pygwire import messages as codec
from pygwire.constants import MessageDirection, TransactionStatus
from pygwire.messages import (
    STANDARD_REGISTRY,
    STARTUP_REGISTRY,
)

from deckdrum.wire.frames import Frame, WireError

__all__ = [
    'codec',
    'decode_backend',
    'decode_frontend',
    'decode_startup',
    'encode_error',
    'encode_parameter_status',
    'encode_ready_for_query',
]

#: Errors that the codec raises for a malformed body.
_CODEC_ERRORS: Final = (
    PygwireError,
    struct.error,
    ValueError,
    IndexError,
    OverflowError,
)


def decode_frontend(
    frame: Frame,
    phase: ConnectionPhase = ConnectionPhase.READY,
) -> Any:
    """Decode a message sent by a caller.

    Parameters
    ----------
    frame : Frame
        The message.
    phase : ConnectionPhase
        Phase of the connection; the tag ``p`` depends on it.

    Raises
    ------
    WireError
        If the tag is unknown or the body malformed.
    """
    return _decode(frame, phase, MessageDirection.FRONTEND)


def decode_backend(
    frame: Frame,
    phase: ConnectionPhase = ConnectionPhase.SIMPLE_QUERY,
) -> Any:
    """Decode a message sent by a database; see `decode_frontend`."""
    return _decode(frame, phase, MessageDirection.BACKEND)


def decode_startup(body: bytes) -> Any:
    """Decode a start-up, SSL, GSS or cancel request.

    Raises
    ------
    WireError
        If the request code is unknown or the body malformed.
    """
    (request_code,) = struct.unpack_from('!I', body)
    message_type = STARTUP_REGISTRY.lookup(request_code)
    if message_type is None:
        raise WireError(f'start-up code {request_code:#x} is unknown')
    try:
        return message_type.decode(memoryview(body))
    except _CODEC_ERRORS as error:
        raise WireError(f'malformed start-up message: {error}') from error


def encode_error(
    sqlstate: str,
    text: str,
    detail: str = '',
    severity: str = 'ERROR',
) -> bytes:
    """Return an ErrorResponse.

    Examples
    --------
    >>> encode_error('DD001', 'not run')[:1]
    b'E'
    """
    fields = {'S': severity, 'V': severity, 'C': sqlstate, 'M': text}
    if detail:
        fields['D'] = detail
    return codec.ErrorResponse(fields=fields).to_wire()


def encode_parameter_status(name: str, text: str) -> bytes:
    """Return a ParameterStatus."""
    return codec.ParameterStatus(name=name, value=text).to_wire()


def encode_ready_for_query(status: str) -> bytes:
    r"""Return a ReadyForQuery with status ``I``, ``T`` or ``E``.

    Examples
    --------
    >>> encode_ready_for_query('I')
    b'Z\x00\x00\x00\x05I'
    """
    return codec.ReadyForQuery(status=TransactionStatus(status)).to_wire()


def encode_command_complete(command: str) -> bytes:
    """Return a CommandComplete."""
    return codec.CommandComplete(tag=command).to_wire()


def _decode(
    frame: Frame,
    phase: ConnectionPhase,
    direction: MessageDirection,
) -> Any:
    message_type = STANDARD_REGISTRY.lookup(frame.tag, phase, direction)
    if message_type is None:
        raise WireError(f'message tag {frame.tag!r} is unknown here')
    try:
        return message_type.decode(memoryview(frame.body))
    except _CODEC_ERRORS as error:
        raise WireError(f'malformed message {frame.tag!r}') from error
