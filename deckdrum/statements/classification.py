"""Classification of SQL text with `sqlglot`, cached by text.

A statement that is not known to be a read counts as a write.
"""

import logging
import re
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

import sqlglot

exp = sqlglot.exp
# Unparsable statements count as writes and need no log message of the parser.
logging.getLogger('sqlglot').setLevel(logging.ERROR)
_DIALECT: Final = 'postgres'
_MAX_CACHE_ENTRIES: Final = 4096
#: Longer texts are not cached, to bound the memory of the cache.
_MAX_CACHED_CHARACTERS: Final = 4096
#: Longer texts count as writes: parsing them would delay other callers.
_MAX_PARSED_CHARACTERS: Final = 65536
_HINT: Final = re.compile(r'\A\s*/\*\s*deckdrum:(.*?)\*/', re.DOTALL)
_SETTING: Final = re.compile(
    r'\A\s*(?:/\*.*?\*/\s*)?SET\s+(?P<scope>SESSION\s+|LOCAL\s+)?'
    r'(?P<name>TIME\s+ZONE|[\w.]+)\s*(?:=|\bTO\b|\s)\s*(?P<text>.+?)\s*;?\s*\Z',
    re.IGNORECASE | re.DOTALL,
)
_RESET: Final = re.compile(r'\A\s*RESET\s+([\w.]+)\s*;?\s*\Z', re.IGNORECASE)
_SHOW: Final = re.compile(
    r'\A\s*SHOW\s+(deckdrum\.\w+)\s*;?\s*\Z',
    re.IGNORECASE,
)
_DEALLOCATE: Final = re.compile(
    r'\A\s*DEALLOCATE\s+(?:PREPARE\s+)?("?)(.+?)\1\s*;?\s*\Z',
    re.IGNORECASE,
)
_DISCARD: Final = re.compile(r'\A\s*DISCARD\s+ALL\s*;?\s*\Z', re.IGNORECASE)
_READ_ONLY: Final = re.compile(
    r'\A\s*(?:BEGIN|START\s+TRANSACTION)\b.*\bREAD\s+ONLY\s*;?\s*\Z',
    re.IGNORECASE | re.DOTALL,
)
#: Later statements of a text that leave state on their backend connection.
_LATER_PINNING_STATEMENT: Final = re.compile(
    r';\s*(?:SET(?!\s+LOCAL)|RESET|DISCARD|LISTEN|UNLISTEN|PREPARE|EXECUTE|'
    r'COPY|LOAD)\b',
    re.IGNORECASE,
)
_KEYWORD: Final = re.compile(r'\A(?:\s|--[^\n]*\n|/\*.*?\*/)*(\w+)', re.DOTALL)
#: Keywords of refused statements, which leave state on their connection.
_REFUSED_KEYWORDS: Final = frozenset(
    (
        'COPY',
        'LISTEN',
        'UNLISTEN',
        'PREPARE',
        'EXECUTE',
        'LOAD',
        'DISCARD',
    )
)
_PINNING_KEYWORDS: Final = _REFUSED_KEYWORDS.union(('SET', 'RESET'))
#: Read-only functions that sqlglot parses as unknown.
_READ_FUNCTIONS: Final = frozenset(
    (
        'abs',
        'age',
        'array_length',
        'char_length',
        'current_setting',
        'date_part',
        'date_trunc',
        'format',
        'length',
        'lower',
        'now',
        'octet_length',
        'pg_typeof',
        'position',
        'printf',
        'quote_literal',
        'round',
        'to_char',
        'upper',
        'version',
        'zeroblob',
        'randomblob',
        'hex',
        'replace',
        'substr',
        'generate_series',
        'total',
        'instr',
        'json_object',
        'json_array',
    )
)
#: Functions that leave state on their backend connection.
_REFUSED_FUNCTIONS: Final = frozenset(
    (
        'pg_advisory_lock',
        'pg_advisory_lock_shared',
        'pg_try_advisory_lock',
        'pg_try_advisory_lock_shared',
        'pg_advisory_unlock',
        'pg_advisory_unlock_all',
        'set_config',
    )
)
_WRITE_NODES: Final = (
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Merge,
    exp.Create,
    exp.Drop,
    exp.Alter,
    exp.Command,
    exp.Lock,
    exp.Into,
    exp.TruncateTable,
)


class Effect(StrEnum):
    """Effect of a statement."""

    READ = 'read'
    WRITE = 'write'
    #: Starts a read-only transaction.
    READ_TRANSACTION = 'read transaction'
    #: Other transaction control, including SET LOCAL.
    CONTROL = 'control'
    #: Changes a setting that is replayed on backend connections.
    SETTING = 'setting'
    #: Answered by the proxy itself.
    LOCAL = 'local'
    #: Not supported with pooled connections.
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class Statement:
    """Classification of a statement.

    Attributes
    ----------
    effect : Effect
        Effect of the statement.
    tables : frozenset of str
        Tables that it changes, in lower case.
    hints : frozenset of str
        Words of a leading comment ``/* deckdrum: ... */``.
    command : str
        First keyword, in upper case.
    name, argument : str
        Name and value of a setting, or name of the statement to deallocate.
    """

    effect: Effect
    tables: frozenset[str] = frozenset()
    hints: frozenset[str] = frozenset()
    command: str = ''
    name: str = ''
    argument: str = ''


@dataclass(slots=True)
class Classifier:
    """Classifies statements and caches the results.

    Parameters
    ----------
    read_functions : iterable of str
        Names of user-defined functions that only read.

    Examples
    --------
    >>> classify = Classifier().classify
    >>> classify('SELECT * FROM stalls WHERE id = $1').effect.value
    'read'
    >>> classify('SELECT book_stall(4)').effect.value
    'write'
    >>> classify("SET deckdrum.read_kind = 'browse'").argument
    'browse'
    """

    read_functions: Iterable[str] = ()
    _cache: OrderedDict[str, Statement] = field(default_factory=OrderedDict)

    def classify(self, text: str) -> Statement:
        """Classify the statements in `text`."""
        cached = self._cache.get(text)
        if cached is not None:
            self._cache.move_to_end(text)
            return cached
        statement = self._classify_uncached(text)
        if len(text) <= _MAX_CACHED_CHARACTERS:
            self._cache[text] = statement
            if len(self._cache) > _MAX_CACHE_ENTRIES:
                self._cache.popitem(last=False)
        return statement

    def _classify_uncached(self, text: str) -> Statement:
        word = _find_keyword(text)
        if ';' in text.strip().rstrip(';'):
            return self._classify_multiple(text, word)
        for classify in (_classify_local, _classify_control):
            statement = classify(text, word)
            if statement is not None:
                return statement
        if len(text) > _MAX_PARSED_CHARACTERS:
            return Statement(Effect.WRITE, command=word)
        return self._classify_parsed(text, word)

    def _classify_multiple(self, text: str, word: str) -> Statement:
        if word in _PINNING_KEYWORDS or _LATER_PINNING_STATEMENT.search(text):
            return Statement(Effect.REFUSED, command=word)
        if len(text) > _MAX_PARSED_CHARACTERS:
            return Statement(Effect.WRITE, command=word)
        return self._classify_parsed(text, word)

    def _classify_parsed(self, text: str, word: str) -> Statement:
        hints = _read_hints(text)
        try:
            trees = sqlglot.parse(text, read=_DIALECT)
        except (sqlglot.errors.SqlglotError, RecursionError):
            return Statement(Effect.WRITE, hints=hints, command=word)
        effects = [
            self._find_effect(tree) for tree in trees if tree is not None
        ]
        effect = Effect.READ
        for stronger in (Effect.WRITE, Effect.REFUSED):
            if stronger in effects:
                effect = stronger
        return Statement(effect, _find_changed_tables(trees), hints, word)

    def _find_effect(self, tree: exp.Expr) -> Effect:
        functions = {node.name.lower() for node in tree.find_all(exp.Anonymous)}
        if functions & _REFUSED_FUNCTIONS or _pins_connection(tree):
            return Effect.REFUSED
        if not isinstance(tree, exp.Query | exp.Values):
            return Effect.WRITE
        if tree.find(*_WRITE_NODES) is not None:
            return Effect.WRITE
        allowed = _READ_FUNCTIONS.union(self.read_functions)
        return Effect.READ if functions <= allowed else Effect.WRITE


def _find_keyword(text: str) -> str:
    match = _KEYWORD.match(text)
    return match.group(1).upper() if match else ''


def _read_hints(text: str) -> frozenset[str]:
    match = _HINT.match(text)
    return frozenset(match.group(1).split()) if match else frozenset()


def _classify_local(text: str, word: str) -> Statement | None:
    if word == 'SHOW':
        match = _SHOW.match(text)
        if match is None:
            return Statement(Effect.READ, command=word)
        return Statement(
            Effect.LOCAL,
            command=word,
            name=match.group(1).lower(),
        )
    if word == 'DEALLOCATE':
        match = _DEALLOCATE.match(text)
        name = match.group(2) if match else 'ALL'
        return Statement(Effect.LOCAL, command=word, name=name)
    if word == 'DISCARD' and _DISCARD.match(text):
        return Statement(Effect.LOCAL, command='DISCARD ALL')
    if word == 'RESET':
        match = _RESET.match(text)
        name = match.group(1).lower() if match else ''
        return Statement(Effect.SETTING, command=word, name=name)
    return _classify_setting(text) if word == 'SET' else None


def _classify_setting(text: str) -> Statement:
    match = _SETTING.match(text)
    if match is None:
        return Statement(Effect.REFUSED, command='SET')
    scope = (match.group('scope') or '').strip().upper()
    name = re.sub(r'\s+', '', match.group('name').lower())
    if scope == 'LOCAL' or name in {'transaction', 'constraints'}:
        return Statement(Effect.CONTROL, command='SET')
    argument = match.group('text').strip().strip('\'"')
    is_own = name.startswith('deckdrum.')
    effect = Effect.LOCAL if is_own else Effect.SETTING
    return Statement(effect, command='SET', name=name, argument=argument)


_TRANSACTION_KEYWORDS: Final = frozenset(
    (
        'BEGIN',
        'START',
        'COMMIT',
        'END',
        'ROLLBACK',
        'ABORT',
        'SAVEPOINT',
        'RELEASE',
    )
)


def _classify_control(text: str, word: str) -> Statement | None:
    if word in _REFUSED_KEYWORDS:
        return Statement(Effect.REFUSED, command=word)
    if word not in _TRANSACTION_KEYWORDS:
        return None
    if _READ_ONLY.match(text):
        return Statement(Effect.READ_TRANSACTION, command=word)
    return Statement(Effect.CONTROL, command=word)


def _pins_connection(tree: exp.Expr) -> bool:
    """Return whether a statement leaves state on its backend connection."""
    if isinstance(tree, exp.Create):
        return tree.find(exp.TemporaryProperty) is not None
    if not isinstance(tree, exp.Command | exp.Declare | exp.Set):
        return False
    words = tree.sql(dialect=_DIALECT).upper().split()
    if words[0] == 'SET':
        return words[1] != 'LOCAL'
    return words[0] in _REFUSED_KEYWORDS or 'HOLD' in words


def _find_changed_tables(trees: Iterable[exp.Expr | None]) -> frozenset[str]:
    changed = set()
    for tree in trees:
        if tree is None:
            continue
        for node in tree.find_all(exp.Insert, exp.Update, exp.Delete):
            table = node.find(exp.Table)
            if table is not None:
                changed.add(table.name.lower())
    return frozenset(changed)
