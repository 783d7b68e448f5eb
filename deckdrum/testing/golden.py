"""Transcripts of client sessions for golden files."""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Final

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment
from deckdrum.wire import Frame, tags
from deckdrum.wire.messages import codec, decode_backend

_NAMES: Final = MappingProxyType(
    {
        tags.PARSE_COMPLETE: 'ParseComplete',
        tags.BIND_COMPLETE: 'BindComplete',
        tags.CLOSE_COMPLETE: 'CloseComplete',
        tags.EMPTY_QUERY: 'EmptyQueryResponse',
        b'n': 'NoData',
        b't': 'ParameterDescription',
    }
)


class SessionRecorder:
    """Runs client sessions against a deployment and records each message.

    Parameters
    ----------
    deployment : Deployment
        The deployment to connect to.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._clients: dict[str, Client] = {}
        self.lines: list[str] = []

    @property
    def text(self) -> str:
        """The transcript."""
        return '\n'.join((*self.lines, ''))

    async def connect(self, name: str, proxy: str, **options: str) -> None:
        """Connect and log in a client."""
        client = await self._deployment.connect(proxy, **options)
        self._clients[name] = client
        shown = ' '.join(sorted(options))
        self.lines.append(f'{name} connects to {proxy} {shown}'.strip())

    async def reconnect(self, name: str, proxy: str, **options: str) -> None:
        """Connect a client to another proxy with its session token."""
        token = self._clients[name].token
        await self._clients[name].close()
        await self.connect(name, proxy, session=token, **options)

    async def query(self, name: str, text: str) -> None:
        """Send a simple query and record the answer."""
        message = codec.Query(query_string=text).to_wire()
        await self.send(name, f'Query {text}', message)

    async def send_extended_query(
        self, name: str, text: str, *bound_values: str
    ) -> None:
        """Send Parse, Bind, Describe, Execute and Sync."""
        parts = (
            codec.Parse(query=text).to_wire(),
            codec.Bind(
                param_values=[each.encode() for each in bound_values]
            ).to_wire(),
            codec.Describe(kind='P').to_wire(),
            codec.Execute().to_wire(),
            codec.Sync().to_wire(),
        )
        shown = f'Parse/Bind/Describe/Execute/Sync {text} {bound_values}'
        await self.send(name, shown, b''.join(parts))

    async def send(self, name: str, shown: str, payload: bytes) -> None:
        """Send messages and record the answers up to ReadyForQuery."""
        self.lines.append(f'{name} > {shown}')
        link = self._clients[name].link
        await link.send(payload)
        while True:
            frame = await link.read_frame()
            self.lines.append(f'{name} < {describe_frame(frame)}')
            if frame.tag == tags.PARAMETER:
                message = decode_backend(frame)
                link.reported[message.name] = message.value
            if frame.tag == tags.READY:
                return


def describe_frame(frame: Frame) -> str:
    """Return a message as one line, without fields that vary between runs."""
    name = _NAMES.get(frame.tag)
    if name is not None:
        return name
    message = decode_backend(frame)
    if frame.tag == tags.PARAMETER:
        return f'ParameterStatus {message.name}'
    if frame.tag == tags.ERROR:
        fields = message.fields
        error = ' '.join((fields['C'], fields['M'], fields.get('D', '')))
        return f'ErrorResponse {error}'.strip()
    if frame.tag == tags.DATA_ROW:
        return f'DataRow {_format_row(message.columns)}'
    if frame.tag == b'T':
        names = ' '.join(column.name for column in message.fields)
        return f'RowDescription {names}'
    if frame.tag == tags.COMMAND_COMPLETE:
        return f'CommandComplete {message.tag}'
    return f'ReadyForQuery {message.status}'


def _format_row(columns: Sequence[bytes | None]) -> str:
    shown = [
        'NULL' if column is None else bytes(column).decode()
        for column in columns
    ]
    return ' | '.join(shown)
