"""Classification of SQL text by `sqlglot`, cached by text.

What is not known to be a read is a write.
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
# The fallback to a write is ours to count, not the parser's to print.
logging.getLogger('sqlglot').setLevel(logging.ERROR)
_DIALECT: Final = 'postgres'
#: Statements whose classification is kept.
_CACHE_ENTRIES: Final = 4096
#: Longer texts are classified each time, to bound the cache's memory.
_CACHE_TEXT_CHARACTERS: Final = 4096
#: Longer texts are writes unseen: parsing them would hold up other callers.
_PARSE_CHARACTERS: Final = 65536
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
#: A statement after the first that ties state to one backend connection.
_BOUND_LATER: Final = re.compile(
    r';\s*(?:SET(?!\s+LOCAL)|RESET|DISCARD|LISTEN|UNLISTEN|PREPARE|EXECUTE|'
    r'COPY|LOAD)\b',
    re.IGNORECASE,
)
_FIRST_WORD: Final = re.compile(
    r'\A(?:\s|--[^\n]*\n|/\*.*?\*/)*(\w+)', re.DOTALL
)
#: First words of statements that tie state to one backend connection.
_REFUSED_WORDS: Final = frozenset(
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
_BOUND_WORDS: Final = _REFUSED_WORDS.union(('SET', 'RESET'))
#: Functions that sqlglot does not know and that only read.
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
#: Functions that hold state on one backend connection.
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
    """What a statement does."""

    READ = 'read'
    WRITE = 'write'
    #: Opens a transaction that only reads.
    READ_TRANSACTION = 'read transaction'
    #: Ends a transaction, or is part of its control.
    CONTROL = 'control'
    #: SET of a setting that is replayed on backend connections.
    SETTING = 'setting'
    #: Answered by the proxy itself.
    LOCAL = 'local'
    #: Not possible with pooled connections.
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class Statement:
    """What routing must know of a statement.

    Attributes
    ----------
    effect : Effect
        What it does.
    tables : frozenset of str
        Tables it changes, in lower case.
    hints : frozenset of str
        Words of a leading comment ``/* deckdrum: ... */``.
    command : str
        First word, in upper case.
    name, argument : str
        Name and text of a setting, or the name to deallocate.
    """

    effect: Effect
    tables: frozenset[str] = frozenset()
    hints: frozenset[str] = frozenset()
    command: str = ''
    name: str = ''
    argument: str = ''


@dataclass(slots=True)
class Classifier:
    """Classifies statements and remembers the answers.

    Parameters
    ----------
    read_functions : iterable of str
        Names of the operators' own functions that only read.

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
        """Return what `text` does."""
        known = self._cache.get(text)
        if known is not None:
            self._cache.move_to_end(text)
            return known
        statement = self._examine(text)
        if len(text) <= _CACHE_TEXT_CHARACTERS:
            self._cache[text] = statement
            if len(self._cache) > _CACHE_ENTRIES:
                self._cache.popitem(last=False)
        return statement

    def _examine(self, text: str) -> Statement:
        word = _read_first_word(text)
        if ';' in text.strip().rstrip(';'):
            return self._examine_many(text, word)
        for read_rule in (_examine_local, _examine_control):
            statement = read_rule(text, word)
            if statement is not None:
                return statement
        if len(text) > _PARSE_CHARACTERS:
            return Statement(Effect.WRITE, command=word)
        return self._examine_tree(text, word)

    def _examine_many(self, text: str, word: str) -> Statement:
        if word in _BOUND_WORDS or _BOUND_LATER.search(text):
            return Statement(Effect.REFUSED, command=word)
        if len(text) > _PARSE_CHARACTERS:
            return Statement(Effect.WRITE, command=word)
        return self._examine_tree(text, word)

    def _examine_tree(self, text: str, word: str) -> Statement:
        hints = _read_hints(text)
        try:
            trees = sqlglot.parse(text, read=_DIALECT)
        except (sqlglot.errors.SqlglotError, RecursionError):
            return Statement(Effect.WRITE, hints=hints, command=word)
        effects = [self._judge(tree) for tree in trees if tree is not None]
        effect = Effect.READ
        for worse in (Effect.WRITE, Effect.REFUSED):
            if worse in effects:
                effect = worse
        return Statement(effect, _find_changed(trees), hints, word)

    def _judge(self, tree: exp.Expr) -> Effect:
        functions = {node.name.lower() for node in tree.find_all(exp.Anonymous)}
        if functions & _REFUSED_FUNCTIONS or _is_bound(tree):
            return Effect.REFUSED
        if not isinstance(tree, exp.Query | exp.Values):
            return Effect.WRITE
        if tree.find(*_WRITE_NODES) is not None:
            return Effect.WRITE
        allowed = _READ_FUNCTIONS.union(self.read_functions)
        return Effect.READ if functions <= allowed else Effect.WRITE


def _read_first_word(text: str) -> str:
    match = _FIRST_WORD.match(text)
    return match.group(1).upper() if match else ''


def _read_hints(text: str) -> frozenset[str]:
    match = _HINT.match(text)
    return frozenset(match.group(1).split()) if match else frozenset()


def _examine_local(text: str, word: str) -> Statement | None:
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
    return _examine_setting(text) if word == 'SET' else None


def _examine_setting(text: str) -> Statement:
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


_CONTROL_WORDS: Final = frozenset(
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


def _examine_control(text: str, word: str) -> Statement | None:
    if word in _REFUSED_WORDS:
        return Statement(Effect.REFUSED, command=word)
    if word not in _CONTROL_WORDS:
        return None
    if _READ_ONLY.match(text):
        return Statement(Effect.READ_TRANSACTION, command=word)
    return Statement(Effect.CONTROL, command=word)


def _is_bound(tree: exp.Expr) -> bool:
    """Tell whether a statement ties state to its backend connection."""
    if isinstance(tree, exp.Create):
        return tree.find(exp.TemporaryProperty) is not None
    if not isinstance(tree, exp.Command | exp.Declare | exp.Set):
        return False
    words = tree.sql(dialect=_DIALECT).upper().split()
    if words[0] == 'SET':
        return words[1] != 'LOCAL'
    return words[0] in _REFUSED_WORDS or 'HOLD' in words


def _find_changed(trees: Iterable[exp.Expr | None]) -> frozenset[str]:
    changed = set()
    for tree in trees:
        if tree is None:
            continue
        for node in tree.find_all(exp.Insert, exp.Update, exp.Delete):
            table = node.find(exp.Table)
            if table is not None:
                changed.add(table.name.lower())
    return frozenset(changed)
