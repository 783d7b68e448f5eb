"""Objects that the product keeps in the platform's API, validated."""

from enum import StrEnum
from typing import Final

from pydantic import BaseModel, ConfigDict

from deckdrum.utils import Address

#: Where the configuration lies.
CONFIGURATION_PATH: Final = 'deckdrum/configuration'
#: Where the records of database groups lie.
RECORDS_PREFIX: Final = 'deckdrum/services/'


class Phase(StrEnum):
    """Phase of a database group's record."""

    SETTLED = 'settled'
    FENCING = 'fencing'


class _Record(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return self.model_dump_json().encode()


class GroupRecord(_Record):
    """Which database leads a service, and since which term.

    `operation` names the change that wrote the record, so that a writer
    whose answer was lost can tell whether it was its own.
    """

    service: str
    term: int
    primary: str
    phase: Phase
    operation: str
    driver: str = ''

    @property
    def path(self) -> str:
        """Where the record lies."""
        return RECORDS_PREFIX + self.service


class ConfigurationRecord(_Record):
    """The accepted configuration document."""

    number: int
    operation: str
    author: str
    text: str


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(_Record):
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
