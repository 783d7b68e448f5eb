"""Validated settings file of a proxy; times are in seconds."""

from pathlib import Path
from typing import Annotated, Final

from pydantic import Field, SecretStr, ValidationError, field_validator

from deckdrum.configuration.documents import read_yaml
from deckdrum.configuration.models import Count, Name, Seconds, Strict
from deckdrum.outcomes.errors import DocumentError, SettingsError
from deckdrum.utils import Address

_MIN_KEY_CHARACTERS: Final = 16
_DEFAULT_MAX_MESSAGE_BYTES: Final = 16_000_000


class ProxySettings(Strict):
    """Settings of ``deckdrum-proxy``.

    Examples
    --------
    >>> settings = ProxySettings(
    ...     name='p1',
    ...     data_centre='ba-hall',
    ...     listen='127.0.0.1:6001',
    ...     peer_listen='127.0.0.1:6101',
    ...     admin_listen='127.0.0.1:6201',
    ...     platform='127.0.0.1:6300',
    ...     database_password='secret-word',
    ...     session_keys=['0123456789abcdef'],
    ... )
    >>> settings.database_password
    SecretStr('**********')
    """

    name: Name
    data_centre: Name
    #: Address for connections from callers.
    listen: str
    #: Address for connections from other proxies.
    peer_listen: str
    #: Address for operators and Prometheus.
    admin_listen: str
    #: Address of the platform's object API.
    platform: str
    #: Peers that provide the configuration while the platform is unavailable.
    peers: list[str] = Field(default_factory=list)
    database_user: str = 'deckdrum'
    database_password: SecretStr
    #: Keys of session tokens: the first signs, any of them verifies.
    session_keys: Annotated[list[SecretStr], Field(min_length=1)]
    #: Timeout for open transactions during a graceful shutdown.
    drain_limit: Seconds = 30
    #: Timeout for the login of a caller.
    login_limit: Seconds = 10
    max_callers: Count = 10_000
    max_message_bytes: Annotated[int, Field(ge=1024)] = (
        _DEFAULT_MAX_MESSAGE_BYTES
    )
    #: Random seed, for tests; 0 uses a new one at each start.
    seed: Annotated[int, Field(ge=0)] = 0

    @field_validator('listen', 'peer_listen', 'admin_listen', 'platform')
    @classmethod
    def check_address(cls, text: str) -> str:
        """Validate an address as ``host:port``."""
        return str(Address.parse(text))

    @field_validator('peers')
    @classmethod
    def check_peers(cls, texts: list[str]) -> list[str]:
        """Validate each address as ``host:port``."""
        return [str(Address.parse(text)) for text in texts]

    @field_validator('session_keys')
    @classmethod
    def check_keys(cls, keys: list[SecretStr]) -> list[SecretStr]:
        """Reject keys that are too short."""
        for key in keys:
            if len(key.get_secret_value()) < _MIN_KEY_CHARACTERS:
                raise ValueError(
                    f'a key has fewer than {_MIN_KEY_CHARACTERS} characters',
                )
        return keys

    def list_session_keys(self) -> list[bytes]:
        """Return the session keys as bytes."""
        return [key.get_secret_value().encode() for key in self.session_keys]


def load_settings(path: Path) -> ProxySettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        With the file, line, key and expected value of each error.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    try:
        raw, lines = read_yaml(text, str(path))
    except DocumentError as error:
        raise SettingsError(str(error)) from error
    try:
        return ProxySettings.model_validate(raw)
    except ValidationError as error:
        messages = [
            _format_error(str(path), lines, entry['loc'], entry['msg'])
            for entry in error.errors(include_input=False)
        ]
        raise SettingsError('\n'.join(messages)) from error


def _format_error(
    source: str,
    lines: dict[tuple[str | int, ...], int],
    location: tuple[str | int, ...],
    text: str,
) -> str:
    line = lines.get(location, 1)
    key = '.'.join(str(step) for step in location) or '(document)'
    return f'{source}: line {line}: {key}: {text}'
