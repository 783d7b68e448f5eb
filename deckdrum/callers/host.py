"""Interface between a caller's connection and its proxy."""

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
    """Limits for one caller connection."""

    login_timeout_s: float
    max_message_bytes: int


@dataclass(frozen=True, slots=True)
class CancelKey:
    """The key that authorizes a caller's cancel request."""

    process: int
    secret: bytes


@dataclass(frozen=True, slots=True)
class OpenedChannel:
    """A channel to the keeper of a service.

    The keeper of a service is the proxy that holds its database connections;
    `keeper` is the name of that proxy.
    """

    channel: Channel
    channel_id: str
    keeper: str


class CallerHost(ABC):
    """What a proxy provides to the connections of its callers."""

    limits: CallerLimits
    ring: KeyRing
    metrics: Metrics
    classifier: Classifier

    @property
    @abstractmethod
    def document(self) -> Document | None:
        """The active configuration, or None if none was received yet."""

    @property
    @abstractmethod
    def is_draining(self) -> bool:
        """Whether a planned shutdown is in progress."""

    @abstractmethod
    async def open_channel(
        self,
        service: str,
        group: str,
    ) -> OpenedChannel | Refusal:
        """Open a channel to the keeper of a service."""

    @abstractmethod
    async def release_channel(self, opened: OpenedChannel) -> None:
        """Return an idle channel for reuse."""

    @abstractmethod
    async def suspect(self, keeper: str) -> None:
        """Mark a keeper as suspected, so that it is tried last for a while."""

    @abstractmethod
    async def is_running(self, keeper: str) -> bool:
        """Return whether a keeper's process answers a heartbeat."""

    @abstractmethod
    async def cancel_channel(self, opened: OpenedChannel) -> None:
        """Cancel the batch that runs on a channel."""

    @abstractmethod
    async def cancel(self, key: CancelKey) -> None:
        """Cancel the request of the caller with `key`."""

    @abstractmethod
    def make_key(self) -> CancelKey:
        """Return a new cancel key."""
