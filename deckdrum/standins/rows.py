"""Conversion between wire values and `sqlite3` values.

TEST STAND-IN.  Results are encoded in text format only.
"""

import struct
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from deckdrum.standins.engine import Scalar
from deckdrum.wire.messages import codec

_INT8: Final = 20
_FLOAT8: Final = 701
_BYTEA: Final = 17
_TEXT: Final = 25
_HEX_PREFIX: Final = bytes((92, ord('x')))
_OIDS: Final[Mapping[type, int]] = MappingProxyType(
    {int: _INT8, float: _FLOAT8, bytes: _BYTEA},
)
_Decoder = Callable[[str], Scalar]
_TEXT_DECODERS: Final[Mapping[int, _Decoder]] = MappingProxyType(
    {
        16: lambda text: int(text in {'t', 'true', '1'}),
        20: int,
        21: int,
        23: int,
        700: float,
        701: float,
        1700: float,
    }
)
_BINARY_FORMATS: Final = MappingProxyType(
    {
        16: '!?',
        20: '!q',
        21: '!h',
        23: '!i',
        700: '!f',
        701: '!d',
    }
)


def decode_argument(raw: bytes | None, oid: int, is_binary: bool) -> Scalar:
    """Decode a bound argument.

    Parameters
    ----------
    raw : bytes or None
        Value as received.
    oid : int
        Type OID that the client declared; 0 if none.
    is_binary : bool
        Whether `raw` is in binary format.
    """
    if raw is None:
        return None
    if is_binary:
        struct_format = _BINARY_FORMATS.get(oid)
        if struct_format is None:
            return bytes(raw)
        (number,) = struct.unpack(struct_format, raw)
        return int(number) if isinstance(number, bool) else number
    decoder = _TEXT_DECODERS.get(oid)
    text = bytes(raw).decode()
    if decoder is not None:
        return decoder(text)
    return text


def describe_columns(
    names: Sequence[str],
    sample: Sequence[Scalar] | None,
) -> bytes:
    """Return a RowDescription; types are inferred from a sample row."""
    sample_row = sample or [None for _ in names]
    fields = [
        codec.FieldDescription(
            name=name,
            type_oid=_OIDS.get(type(scalar), _TEXT),
            type_size=-1,
            type_modifier=-1,
        )
        for name, scalar in zip(names, sample_row, strict=True)
    ]
    return codec.RowDescription(fields=fields).to_wire()


def encode_row(row: Sequence[Scalar]) -> bytes:
    """Return a DataRow."""
    return codec.DataRow(
        columns=[_encode_scalar(scalar) for scalar in row],
    ).to_wire()


def _encode_scalar(scalar: Scalar) -> bytes | None:
    if scalar is None:
        return None
    if isinstance(scalar, bytes):
        return _HEX_PREFIX + scalar.hex().encode()
    return str(scalar).encode()
