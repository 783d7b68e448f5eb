"""Session state of one caller on one proxy."""

import shlex
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from deckdrum.fleet.messages import PreparedStatement
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.sessions import BadTokenError, KeyRing, Token
from deckdrum.statements import Statement

SESSION: Final = 'deckdrum.session'
SESSION_NAME: Final = 'deckdrum.session_name'
READ_KIND: Final = 'deckdrum.read_kind'
REPEATABLE: Final = 'deckdrum.repeatable'
#: Read kind that includes every acknowledged change.
CURRENT_READ_KIND: Final = 'current'
#: Limit on the settings that are replayed on each database connection.
MAX_REPLAYED_SETTINGS: Final = 64
#: Limit on the prepared statements of a session.
MAX_PREPARED_STATEMENTS: Final = 1000
#: Start-up parameters that are not session settings.
_NON_SETTING_PARAMETERS: Final = frozenset(
    (
        'user',
        'database',
        'application_name',
        'options',
        'replication',
    )
)
_OFF_WORDS: Final = frozenset(('off', 'false', 'no', '0'))


@dataclass(frozen=True, slots=True)
class StatementDefinition:
    """A prepared statement and its classification."""

    prepared: PreparedStatement
    statement: Statement


@dataclass(slots=True)
class CallerState:
    """State of a caller's session.

    Attributes
    ----------
    status : str
        Transaction status: ``I``, ``T`` or ``E``.
    is_transaction_lost : bool
        Whether the open transaction was lost and the caller has yet to end it.
    knows_min_position : bool
        Whether the token covers all earlier changes of the session, and so
        gives the position that a read must include.
    """

    user: str
    group: str
    service: str
    ring: KeyRing
    token: Token = field(default_factory=Token)
    read_kind: str = CURRENT_READ_KIND
    is_repeatable: bool = True
    session_name: str = ''
    settings: dict[str, str] = field(default_factory=dict)
    accepted_settings: dict[str, str] = field(default_factory=dict)
    definitions: dict[str, StatementDefinition] = field(default_factory=dict)
    status: str = 'I'
    is_transaction_lost: bool = False
    knows_min_position: bool = True

    def apply_startup_options(
        self, options: Mapping[str, str]
    ) -> Refusal | None:
        """Apply the settings of the start-up message."""
        for name, text in options.items():
            refusal = self.change_setting(name, text)
            if refusal is not None:
                return refusal
        self.accepted_settings = dict(self.settings)
        return None

    def change_setting(self, name: str, text: str) -> Refusal | None:
        """Change a setting of the session.

        Returns
        -------
        Refusal or None
            The reason if the setting was rejected.
        """
        if name == SESSION:
            return self._merge_token(text)
        if name == READ_KIND:
            self.read_kind = text
        elif name == REPEATABLE:
            self.is_repeatable = text.lower() not in _OFF_WORDS
        elif name == SESSION_NAME:
            self.session_name = text
            self.knows_min_position = bool(self.token.positions)
        elif name.startswith('deckdrum.'):
            return refuse(Code.BAD_SETTING, f'{name} is unknown')
        else:
            return self._change_replayed_setting(name, text)
        return None

    def reset_setting(self, name: str) -> None:
        """Remove a replayed setting, or all of them."""
        if name == 'all':
            self.settings.clear()
        else:
            self.settings.pop(name, None)

    def read_setting(self, name: str) -> str | None:
        """Return the value of a ``deckdrum.*`` setting, or None if unknown."""
        return {
            SESSION: self.token.encode(self.ring),
            SESSION_NAME: self.session_name,
            READ_KIND: self.read_kind,
            REPEATABLE: 'on' if self.is_repeatable else 'off',
        }.get(name)

    def add_definition(self, definition: StatementDefinition) -> None:
        """Store a prepared statement; evict the oldest beyond the limit."""
        self.definitions[definition.prepared.name] = definition
        if len(self.definitions) > MAX_PREPARED_STATEMENTS:
            self.definitions.pop(next(iter(self.definitions)))

    def deallocate(self, name: str) -> None:
        """Remove a prepared statement, or all of them."""
        if name.upper() == 'ALL':
            self.definitions.clear()
        else:
            self.definitions.pop(name, None)

    def _merge_token(self, text: str) -> Refusal | None:
        try:
            self.token.merge(Token.decode(text, self.ring))
        except BadTokenError as error:
            return refuse(Code.BAD_SETTING, str(error))
        self.knows_min_position = True
        return None

    def _change_replayed_setting(self, name: str, text: str) -> Refusal | None:
        if name == 'client_encoding':
            encoding = text.lower().replace('-', '').strip('\'"')
            if encoding == 'utf8':
                return None
            return refuse(Code.BAD_SETTING, f'{name} {text!r}, expected UTF8')
        if (
            len(self.settings) >= MAX_REPLAYED_SETTINGS
            and name not in self.settings
        ):
            return refuse(Code.BAD_SETTING, 'too many settings')
        self.settings[name] = text
        return None


def read_options(startup: Mapping[str, str]) -> dict[str, str]:
    """Return the session settings in the parameters of a start-up message.

    Examples
    --------
    >>> read_options({'user': 'u', 'options': '-c deckdrum.read_kind=browse'})
    {'deckdrum.read_kind': 'browse'}
    """
    options = {
        name: text
        for name, text in startup.items()
        if name not in _NON_SETTING_PARAMETERS
    }
    for word in shlex.split(startup.get('options', '')):
        name, equals, text = word.removeprefix('-c').strip('-').partition('=')
        if equals:
            options[name] = text
    return options
