"""The session of one caller on one proxy."""

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
#: The kind of read that sees every acknowledged change.
CURRENT_READ_KIND: Final = 'current'
#: Settings that a session may replay at most.
MAX_REPLAYED_SETTINGS: Final = 64
#: Prepared statements that a session may hold at most.
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
    """A caller's prepared statement and what it does."""

    prepared: PreparedStatement
    statement: Statement


@dataclass(slots=True)
class CallerState:
    """What a proxy remembers of a caller's session.

    Attributes
    ----------
    status : str
        Transaction status: ``I``, ``T`` or ``E``.
    is_lost : bool
        The transaction is gone on the database; the caller has yet to end it.
    knows_floor : bool
        Whether the token covers all that the session has done so far.
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
    good_settings: dict[str, str] = field(default_factory=dict)
    definitions: dict[str, StatementDefinition] = field(default_factory=dict)
    status: str = 'I'
    is_lost: bool = False
    knows_floor: bool = True

    def start(self, options: Mapping[str, str]) -> Refusal | None:
        """Take over the options of the start-up message."""
        for name, text in options.items():
            refusal = self.change(name, text)
            if refusal is not None:
                return refusal
        self.good_settings = dict(self.settings)
        return None

    def change(self, name: str, text: str) -> Refusal | None:
        """Change a setting of the session.

        Returns
        -------
        Refusal or None
            Why it cannot be changed.
        """
        if name == SESSION:
            return self._merge_token(text)
        if name == READ_KIND:
            self.read_kind = text
        elif name == REPEATABLE:
            self.is_repeatable = text.lower() not in _OFF_WORDS
        elif name == SESSION_NAME:
            self.session_name = text
            self.knows_floor = bool(self.token.positions)
        elif name.startswith('deckdrum.'):
            return refuse(Code.BAD_SETTING, f'{name} is unknown')
        else:
            return self._change_replayed_setting(name, text)
        return None

    def reset(self, name: str) -> None:
        """Forget a setting, or all that are replayed."""
        if name == 'all':
            self.settings.clear()
        else:
            self.settings.pop(name, None)

    def read(self, name: str) -> str | None:
        """Return the text of one of the product's own settings."""
        return {
            SESSION: self.token.encode(self.ring),
            SESSION_NAME: self.session_name,
            READ_KIND: self.read_kind,
            REPEATABLE: 'on' if self.is_repeatable else 'off',
        }.get(name)

    def define(self, definition: StatementDefinition) -> None:
        """Remember a prepared statement; the oldest goes if too many."""
        self.definitions[definition.prepared.name] = definition
        if len(self.definitions) > MAX_PREPARED_STATEMENTS:
            self.definitions.pop(next(iter(self.definitions)))

    def deallocate(self, name: str) -> None:
        """Forget a prepared statement, or all."""
        if name.upper() == 'ALL':
            self.definitions.clear()
        else:
            self.definitions.pop(name, None)

    def _merge_token(self, text: str) -> Refusal | None:
        try:
            self.token.merge(Token.decode(text, self.ring))
        except BadTokenError as error:
            return refuse(Code.BAD_SETTING, str(error))
        self.knows_floor = True
        return None

    def _change_replayed_setting(self, name: str, text: str) -> Refusal | None:
        if name == 'client_encoding':
            plain = text.lower().replace('-', '').strip('\'"')
            if plain == 'utf8':
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
    """Return the session settings of a start-up message.

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
