"""Parsing, validation and comparison of configuration documents.

All errors of a document are reported together, each with its path and line.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import yaml
from pydantic import BaseModel, ValidationError

from deckdrum.configuration.models import Document, Service
from deckdrum.outcomes.errors import DocumentError

Path = tuple[str | int, ...]
#: The platform stores objects up to 1 MB; this leaves room for the envelope.
MAX_DOCUMENT_BYTES: Final = 900_000
_REFERENCE: Final = 'expected the name of a declared group'


@dataclass(frozen=True, slots=True)
class Problem:
    """One validation error of a document."""

    path: Path
    text: str

    def describe(self, source: str, lines: dict[Path, int]) -> str:
        """Return one line with the source, line, path and text."""
        known_path = self.path
        while known_path and known_path not in lines:
            known_path = known_path[:-1]
        shown = '.'.join(str(step) for step in self.path) or '(document)'
        return ': '.join(
            (
                source,
                f'line {lines.get(known_path, 1)}',
                shown,
                self.text,
            )
        )


@dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs between two documents."""

    path: str
    before: str
    after: str


def parse_document(text: str, source: str = 'configuration') -> Document:
    """Parse and validate a document.

    Parameters
    ----------
    text : str
        YAML text.
    source : str
        Name of the file, for error messages.

    Raises
    ------
    DocumentError
        If the document is not valid; lists every error.

    Examples
    --------
    >>> parse_document('groups: {}')
    Traceback (most recent call last):
        ...
    deckdrum.outcomes.errors.DocumentError: E102: 2 errors
    configuration: line 1: groups: Input should be a valid list
    configuration: line 1: services: Field required
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f'{source}: {len(text)} characters, '
            f'expected at most {MAX_DOCUMENT_BYTES} bytes',
        )
    raw, lines = read_yaml(text, source)
    try:
        document = Document.model_validate(raw)
    except ValidationError as error:
        problems = [
            Problem(tuple(entry['loc']), entry['msg'])
            for entry in error.errors()
        ]
        raise _build_error(problems, source, lines) from error
    problems = list(_check_references(document))
    if problems:
        raise _build_error(problems, source, lines)
    return document


def read_yaml(text: str, source: str) -> tuple[Any, dict[Path, int]]:
    """Return the parsed YAML and the line number of each path.

    Raises
    ------
    DocumentError
        If the text is not valid YAML or repeats a key.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise DocumentError(f'{source}: invalid YAML: {error}') from error
    lines: dict[Path, int] = {}
    repeated: list[Problem] = []
    if node is not None:
        _index_lines(node, (), lines, repeated)
    if repeated:
        raise _build_error(repeated, source, lines)
    return raw, lines


def compare_documents(before: Document, after: Document) -> list[Difference]:
    """Return the differences, one per value."""
    old = dict(_flatten(before.model_dump(mode='json'), ''))
    new = dict(_flatten(after.model_dump(mode='json'), ''))
    paths = sorted(old.keys() | new.keys())
    return [
        Difference(path, old.get(path, ''), new.get(path, ''))
        for path in paths
        if old.get(path) != new.get(path)
    ]


def _build_error(
    problems: list[Problem],
    source: str,
    lines: dict[Path, int],
) -> DocumentError:
    messages = [f'{len(problems)} errors']
    messages.extend(problem.describe(source, lines) for problem in problems)
    return DocumentError('\n'.join(messages))


def _index_lines(
    node: yaml.Node,
    path: Path,
    lines: dict[Path, int],
    repeated: list[Problem],
) -> None:
    lines[path] = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key_node, child in node.value:
            step = (*path, key_node.value)
            if step in lines:
                repeated.append(Problem(step, 'duplicate key'))
            _index_lines(child, step, lines, repeated)
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _index_lines(child, (*path, index), lines, repeated)


def _check_references(document: Document) -> Iterator[Problem]:
    for section in ('groups', 'users', 'services', 'read_kinds', 'objectives'):
        yield from _check_unique(section, getattr(document, section))
    for section in ('users', 'objectives'):
        for index, entry in enumerate(getattr(document, section)):
            if document.find_group(entry.group) is None:
                message = f'{entry.group!r}, {_REFERENCE}'
                yield Problem((section, index, 'group'), message)
    yield from _check_databases(document)


def _check_unique(section: str, entries: Iterable[Any]) -> Iterator[Problem]:
    counts = Counter(entry.name for entry in entries)
    for index, entry in enumerate(entries):
        if counts[entry.name] > 1:
            message = f'{entry.name!r} is declared more than once'
            yield Problem((section, index, 'name'), message)


def _check_databases(document: Document) -> Iterator[Problem]:
    names = Counter(
        database.name
        for service in document.services
        for database in service.databases
    )
    for index, service in enumerate(document.services):
        for database_index, database in enumerate(service.databases):
            path = ('services', index, 'databases', database_index)
            if names[database.name] > 1:
                message = f'{database.name!r} is declared more than once'
                yield Problem((*path, 'name'), message)
        yield from _check_limits(service, ('services', index, 'databases'))


def _check_limits(service: Service, path: Path) -> Iterator[Problem]:
    for database_index, database in enumerate(service.databases):
        if database.max_connections <= service.reserved_connections:
            message = 'expected more than reserved_connections'
            yield Problem((*path, database_index, 'max_connections'), message)


def _flatten(node: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(node, BaseModel | dict):
        for key, child in dict(node).items():
            yield from _flatten(child, f'{path}.{key}' if path else str(key))
    elif isinstance(node, list):
        for index, child in enumerate(node):
            name = child.get('name') if isinstance(child, dict) else None
            shown = name or index
            yield from _flatten(child, f'{path}[{shown}]')
    else:
        yield path, str(node)
