"""Gathering a caller's messages into batches."""

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

#: Messages that a batch of the extended protocol may hold.
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
    """Who handles a batch."""

    KEEPER = 'keeper'
    LOCAL = 'local'
    REFUSED = 'refused'


@dataclass(slots=True)
class Batch:
    """Messages up to Sync or Flush, or one simple query.

    Attributes
    ----------
    frames : list of Frame
        The messages.
    statements : list of Statement
        What its statements do.
    used : dict of str to PreparedStatement
        Earlier prepared statements that it names.
    runs : bool
        Whether it executes anything.
    """

    frames: list[Frame] = field(default_factory=list)
    statements: list[Statement] = field(default_factory=list)
    used: dict[str, PreparedStatement] = field(default_factory=dict)
    runs: bool = False

    @property
    def payload(self) -> bytes:
        """The messages as bytes."""
        return b''.join(frame.raw for frame in self.frames)

    @property
    def handling(self) -> Handling:
        """Who handles the batch."""
        effects = {statement.effect for statement in self.statements}
        own = effects & {Effect.LOCAL, Effect.SETTING}
        if Effect.REFUSED in effects or (own and len(self.statements) > 1):
            return Handling.REFUSED
        return Handling.LOCAL if own or not effects else Handling.KEEPER

    @property
    def is_read(self) -> bool:
        """Whether all of it only reads."""
        return all(each.effect in _READ_EFFECTS for each in self.statements)

    @property
    def hints(self) -> frozenset[str]:
        """Words of leading comments."""
        return frozenset().union(*(each.hints for each in self.statements))


class BatchReader:
    """Reads a caller's batches.

    Parameters
    ----------
    reader : FrameReader
        Messages of the caller.
    state : CallerState
        Its session; prepared statements are noted there.
    host : CallerHost
        The proxy, whose classifier tells what statements do.
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

    async def read(self) -> Batch | None:
        """Return the next batch, or None once the caller leaves.

        Raises
        ------
        WireError
            If the caller breaks the protocol.
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
                batch.runs = True
                return batch
            if frame.tag in _BATCH_END_TAGS:
                return batch
            self._note(frame, batch)

    def _check_simple_query(self, batch: Batch) -> None:
        if len(batch.frames) > 1:
            raise WireError('a simple query came before Sync')

    def _note(self, frame: Frame, batch: Batch) -> None:
        if frame.tag not in _EXTENDED_TAGS:
            raise WireError(f'message {frame.tag!r} is not supported')
        if len(batch.frames) > _MAX_FRAMES:
            raise WireError(f'over {_MAX_FRAMES} messages before Sync')
        if frame.tag == tags.EXECUTE:
            batch.runs = True
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
            self._state.define(
                StatementDefinition(define_statement(message), statement)
            )

    def _record_prepared_use(self, name: str, batch: Batch) -> None:
        definition = self._state.definitions.get(name) if name else None
        if definition is None or name in batch.used:
            return
        batch.used[name] = definition.prepared
        batch.statements.append(definition.statement)


def build_run_message(
    batch: Batch,
    state: CallerState,
    document: Document,
) -> RunBatch:
    """Return the message that has a keeper run a batch."""
    access = Access.WRITE
    max_age: float = 0
    if batch.is_read:
        access = Access.CURRENT
        kind = document.find_read_kind(_read_kind(batch, state))
        if kind is not None and state.knows_floor:
            access = Access.BOUNDED_STALENESS
            max_age = kind.max_age
    floor = state.token.floor(state.service)
    return RunBatch(
        batch.payload,
        access.value,
        max_age,
        (floor.term, floor.offset),
        _is_repeatable(batch, state, document),
        tuple(state.settings.items()),
        tuple(batch.used.values()),
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
    once = {table.lower() for table in service.not_repeatable_tables}
    return not any(once & each.tables for each in batch.statements)
