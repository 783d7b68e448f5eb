"""Validated objects of the platform's store."""

from enum import StrEnum
from typing import Any, Final, Self

import msgspec

from deckdrum.utils import Address

#: Path of the configuration object.
CONFIGURATION_PATH: Final = 'deckdrum/configuration'
#: Path prefix of the records of database groups.
RECORDS_PREFIX: Final = 'deckdrum/services/'


class Phase(StrEnum):
    """Phase of a database group's record."""

    SETTLED = 'settled'
    FENCING = 'fencing'


class _Record(msgspec.Struct, frozen=True):
    """Base of the records; unknown fields are ignored.

    `decode` and `convert` raise `msgspec.ValidationError`, which names the path
    and the expected type.
    """

    @classmethod
    def decode(cls, body: bytes) -> Self:
        """Return the record decoded from JSON."""
        return msgspec.json.decode(body, type=cls)

    @classmethod
    def convert(cls, raw: Any) -> Self:
        """Return the record converted from plain objects of parsed JSON."""
        return msgspec.convert(raw, type=cls)

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return msgspec.json.encode(self)


class GroupRecord(_Record, frozen=True):
    """Leadership of a database group: its primary and term.

    `operation` identifies the write, so that a writer whose response was lost
    can recognize its own record.  `driver` runs the primary change in progress,
    `former` is the primary before it, and `former_term` the term that it led
    or 0 if unknown.  `primary_started_at` is the start time of the primary in
    Unix ms, or 0 if unknown.  It identifies the incarnation, since a server has
    no data after a restart.  `released_by` is the node that gave an unfinished
    change up, which has no driver then.
    """

    service: str
    term: int
    primary: str
    phase: Phase
    operation: str
    driver: str = ''
    former: str = ''
    primary_started_at: int = 0
    former_term: int = 0
    released_by: str = ''

    @property
    def path(self) -> str:
        """Path of the record in the store."""
        return RECORDS_PREFIX + self.service


class ConfigurationRecord(_Record, frozen=True):
    """The accepted configuration document and its author."""

    number: int
    operation: str
    author: str
    text: str


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(_Record, frozen=True):
    """An entry of the platform's list of instances, which may be stale.

    `kind` is ``proxy`` or ``database``; `address` is the peer address of a
    proxy.
    """

    name: str
    kind: str
    data_centre: str
    address: str
    admin: str = ''
    state: InstanceState = InstanceState.LIVE

    @property
    def endpoint(self) -> Address:
        """The address, parsed."""
        return Address.parse(self.address)
