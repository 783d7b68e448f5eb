"""What a caller's connection needs of its proxy."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from deckdrum.configuration import Document
from deckdrum.fleet.channels import Channel
from deckdrum.outcomes import Refusal
from deckdrum.sessions import KeyRing
from deckdrum.statements import Classifier
from deckdrum.utils.metrics import Metrics


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds for one caller; times in seconds, sizes in bytes."""

    login: float
    message: int


@dataclass(frozen=True, slots=True)
class CancelKey:
    """The key by which a caller cancels its request."""

    process: int
    secret: bytes


@dataclass(frozen=True, slots=True)
class OpenedChannel:
    """A channel to the keeper of a service.

    `keeper` is the name of the proxy that keeps the service.
    """

    channel: Channel
    number: str
    keeper: str


class CallerHost(ABC):
    """The proxy, as its callers' connections see it."""

    limits: CallerLimits
    ring: KeyRing
    metrics: Metrics
    classifier: Classifier

    @property
    @abstractmethod
    def document(self) -> Document | None:
        """The configuration in force, or None before the first."""

    @property
    @abstractmethod
    def is_draining(self) -> bool:
        """Whether a planned stop is under way."""

    @abstractmethod
    async def open_channel(
        self,
        service: str,
        group: str,
    ) -> OpenedChannel | Refusal:
        """Open a channel to the keeper of a service."""

    @abstractmethod
    async def keep_channel(self, opened: OpenedChannel) -> None:
        """Take back a channel on which nothing is under way."""

    @abstractmethod
    async def suspect(self, keeper: str) -> None:
        """Pass a keeper over for a while."""

    @abstractmethod
    async def is_running(self, keeper: str) -> bool:
        """Tell whether a keeper's process runs, by a heartbeat."""

    @abstractmethod
    async def cancel_channel(self, opened: OpenedChannel) -> None:
        """Cancel what runs on a channel."""

    @abstractmethod
    async def cancel(self, key: CancelKey) -> None:
        """Cancel the request of the caller who holds `key`."""

    @abstractmethod
    def make_key(self) -> CancelKey:
        """Return a new cancel key."""
