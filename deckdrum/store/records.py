"""Objects that the product keeps in the store, validated."""

from enum import StrEnum
from typing import Any, Final, Self

import msgspec

from deckdrum.utils import Address

#: Where the configuration lies.
CONFIGURATION_PATH: Final = 'deckdrum/configuration'
#: Where the records of database groups lie.
RECORDS_PREFIX: Final = 'deckdrum/services/'


class Phase(StrEnum):
    """Phase of a database group's record."""

    SETTLED = 'settled'
    FENCING = 'fencing'


class _Record(msgspec.Struct, frozen=True):
    """Base of the records; unknown fields of later versions are passed over.

    Both ways of reading raise `msgspec.ValidationError` with the place and
    what was expected there.
    """

    @classmethod
    def decode(cls, body: bytes) -> Self:
        """Return the record that was encoded as `body`."""
        return msgspec.json.decode(body, type=cls)

    @classmethod
    def convert(cls, raw: Any) -> Self:
        """Return the record of decoded JSON."""
        return msgspec.convert(raw, type=cls)

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return msgspec.json.encode(self)


class GroupRecord(_Record, frozen=True):
    """Which database leads a service, and since which term.

    `operation` names the change that wrote the record, so that a writer
    whose answer was lost can tell whether it was its own.  `former` is the
    database that led before a change that is under way.  `primary_started_at`
    is the start of the primary, in Unix ms; 0 if that is not known.  Another
    start of it holds nothing.
    """

    service: str
    term: int
    primary: str
    phase: Phase
    operation: str
    driver: str = ''
    former: str = ''
    primary_started_at: int = 0

    @property
    def path(self) -> str:
        """Where the record lies."""
        return RECORDS_PREFIX + self.service


class ConfigurationRecord(_Record, frozen=True):
    """The accepted configuration document."""

    number: int
    operation: str
    author: str
    text: str


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(_Record, frozen=True):
    """One entry of the platform's lagging list of instances.

    `kind` is ``proxy`` or ``database``; `address` is the proxy's peer port.
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
