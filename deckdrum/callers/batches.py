"""Grouping a caller's protocol messages into batches."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

from deckdrum.callers.host import CallerHost
from deckdrum.callers.state import CallerState, StatementDefinition
from deckdrum.configuration import Document
from deckdrum.fleet.messages import (
    PreparedStatement,
    RunBatch,
)
from deckdrum.keepers import Access
from deckdrum.keepers.rewriting import define_statement
from deckdrum.statements import Effect, Statement
from deckdrum.wire import Frame, FrameReader, WireError, decode_frontend, tags

#: Limit on the messages of one extended-protocol batch.
_MAX_FRAMES: Final = 10_000
_EXTENDED_TAGS: Final = frozenset(
    (
        tags.PARSE,
        tags.BIND,
        tags.DESCRIBE,
        tags.EXECUTE,
        tags.CLOSE,
    )
)
_BATCH_END_TAGS: Final = frozenset((tags.SYNC, tags.FLUSH))
_READ_EFFECTS: Final = frozenset((Effect.READ, Effect.READ_TRANSACTION))
_READ_KIND_HINT: Final = 'read_kind='
_NOT_REPEATABLE_HINT: Final = 'not_repeatable'


class Handling(StrEnum):
    """Which component handles a batch."""

    KEEPER = 'keeper'
    LOCAL = 'local'
    REFUSED = 'refused'


@dataclass(slots=True)
class Batch:
    """Messages up to Sync or Flush, or one simple query.

    Attributes
    ----------
    frames : list of Frame
        The messages, in order.
    statements : list of Statement
        The classified statements.
    prepared_statements : dict of str to PreparedStatement
        Previously prepared statements that the batch refers to, by name.
    executes : bool
        Whether the batch contains a Query or Execute message.
    """

    frames: list[Frame] = field(default_factory=list)
    statements: list[Statement] = field(default_factory=list)
    prepared_statements: dict[str, PreparedStatement] = field(
        default_factory=dict
    )
    executes: bool = False

    @property
    def payload(self) -> bytes:
        """The encoded messages."""
        return b''.join(frame.raw for frame in self.frames)

    @property
    def handling(self) -> Handling:
        """Which component handles the batch."""
        effects = {statement.effect for statement in self.statements}
        local_effects = effects & {Effect.LOCAL, Effect.SETTING}
        if Effect.REFUSED in effects or (
            local_effects and len(self.statements) > 1
        ):
            return Handling.REFUSED
        return (
            Handling.LOCAL if local_effects or not effects else Handling.KEEPER
        )

    @property
    def is_read(self) -> bool:
        """Whether all statements only read."""
        return all(each.effect in _READ_EFFECTS for each in self.statements)

    @property
    def hints(self) -> frozenset[str]:
        """Hints from leading comments of the statements."""
        return frozenset().union(*(each.hints for each in self.statements))


class BatchReader:
    """Reads batches from a caller's connection.

    Parameters
    ----------
    reader : FrameReader
        Reader of the caller's messages.
    state : CallerState
        The caller's session, in which prepared statements are stored.
    host : CallerHost
        The proxy, which provides the statement classifier.
    """

    def __init__(
        self,
        reader: FrameReader,
        state: CallerState,
        host: CallerHost,
    ) -> None:
        self._reader = reader
        self._state = state
        self._host = host

    async def read_batch(self) -> Batch | None:
        """Return the next batch, or None when the caller disconnects.

        Raises
        ------
        WireError
            If the caller violates the protocol.
        """
        batch = Batch()
        while True:
            frame = await self._reader.read_frame()
            if frame is None or frame.tag == tags.TERMINATE:
                return None
            batch.frames.append(frame)
            if frame.tag == tags.QUERY:
                self._check_simple_query(batch)
                query = decode_frontend(frame).query_string
                batch.statements.append(self._host.classifier.classify(query))
                batch.executes = True
                return batch
            if frame.tag in _BATCH_END_TAGS:
                return batch
            self._record_frame(frame, batch)

    def _check_simple_query(self, batch: Batch) -> None:
        if len(batch.frames) > 1:
            raise WireError('a simple query came before Sync')

    def _record_frame(self, frame: Frame, batch: Batch) -> None:
        if frame.tag not in _EXTENDED_TAGS:
            raise WireError(f'message {frame.tag!r} is not supported')
        if len(batch.frames) > _MAX_FRAMES:
            raise WireError(f'over {_MAX_FRAMES} messages before Sync')
        if frame.tag == tags.EXECUTE:
            batch.executes = True
            return
        message = decode_frontend(frame)
        if frame.tag == tags.PARSE:
            self._record_parse(message, batch)
        elif frame.tag == tags.BIND:
            self._record_prepared_use(message.statement, batch)
        elif message.kind == 'S':
            self._record_prepared_use(message.name, batch)
            if frame.tag == tags.CLOSE:
                batch.statements.clear()
                self._state.deallocate(message.name or ' ')

    def _record_parse(self, message: Any, batch: Batch) -> None:
        statement = self._host.classifier.classify(message.query)
        batch.statements.append(statement)
        if message.statement:
            self._state.add_definition(
                StatementDefinition(define_statement(message), statement)
            )

    def _record_prepared_use(self, name: str, batch: Batch) -> None:
        definition = self._state.definitions.get(name) if name else None
        if definition is None or name in batch.prepared_statements:
            return
        batch.prepared_statements[name] = definition.prepared
        batch.statements.append(definition.statement)


def build_run_message(
    batch: Batch,
    state: CallerState,
    document: Document,
) -> RunBatch:
    """Build the message that asks a keeper to run a batch."""
    access = Access.WRITE
    max_age: float = 0
    if batch.is_read:
        access = Access.CURRENT
        kind = document.find_read_kind(_read_kind(batch, state))
        if kind is not None and state.knows_min_position:
            access = Access.BOUNDED_STALENESS
            max_age = kind.max_age
    min_position = state.token.min_position(state.service)
    return RunBatch(
        batch.payload,
        access.value,
        max_age,
        (min_position.term, min_position.offset),
        _is_repeatable(batch, state, document),
        tuple(state.settings.items()),
        tuple(batch.prepared_statements.values()),
    )


def _read_kind(batch: Batch, state: CallerState) -> str:
    for hint in batch.hints:
        if hint.startswith(_READ_KIND_HINT):
            return hint.removeprefix(_READ_KIND_HINT)
    return state.read_kind


def _is_repeatable(
    batch: Batch,
    state: CallerState,
    document: Document,
) -> bool:
    if not state.is_repeatable or _NOT_REPEATABLE_HINT in batch.hints:
        return False
    service = document.find_service(state.service)
    if service is None:
        return False
    not_repeatable_tables = {
        table.lower() for table in service.not_repeatable_tables
    }
    return not any(
        not_repeatable_tables & each.tables for each in batch.statements
    )
