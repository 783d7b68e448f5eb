"""Start-up and authentication of a caller."""

import hashlib
from base64 import b64decode
from dataclasses import dataclass
from typing import Any, Final

import curio
import scramp
from pygwire import ConnectionPhase

from deckdrum.callers.answers import encode_refusal
from deckdrum.callers.host import CallerHost, CancelKey
from deckdrum.configuration import Document, User
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.utils import Stream
from deckdrum.wire import FrameReader, WireError
from deckdrum.wire.messages import codec, decode_frontend, decode_startup

_MECHANISM: Final = scramp.ScramMechanism('SCRAM-SHA-256')
_ITERATIONS: Final = 4096
_SALT_BYTES: Final = 16
#: SSLRequest and GSSENCRequest messages accepted before the start-up.
_MAX_ENCRYPTION_REQUESTS: Final = 2
_NO_ENCRYPTION: Final = b'N'


@dataclass(frozen=True, slots=True)
class ScramRecord:
    """The SCRAM verifier that a server stores for a password."""

    salt: bytes
    stored_key: bytes
    server_key: bytes
    iterations: int


@dataclass(frozen=True, slots=True)
class Login:
    """An authenticated user and its start-up parameters."""

    user: User
    startup: dict[str, str]


class LoginTask:
    """Authenticates one caller.

    Parameters
    ----------
    host : CallerHost
        The proxy.
    stream : Stream
        The caller's connection.
    reader : FrameReader
        Reader of the caller's messages.
    """

    def __init__(
        self,
        host: CallerHost,
        stream: Stream,
        reader: FrameReader,
    ) -> None:
        self._host = host
        self._stream = stream
        self._reader = reader

    async def run(self) -> Login | None:
        """Return the login, or None if the caller was rejected.

        Raises
        ------
        WireError
            If the caller violates the protocol.
        """
        async with curio.ignore_after(self._host.limits.login_timeout_s):
            return await self._run()
        self._host.metrics.count('caller.login_timeout')
        return None

    async def _run(self) -> Login | None:
        startup = await self._negotiate()
        if startup is None:
            return None
        document = self._host.document
        if self._host.is_draining:
            await self._send_refusal(refuse(Code.DRAINING))
            return None
        if document is None:
            detail = 'no configuration is in force'
            await self._send_refusal(refuse(Code.NOT_CONFIGURED, detail))
            return None
        return await self._authenticate(startup.params, document)

    async def _negotiate(self) -> Any:
        """Handle encryption and cancel requests; return the start-up."""
        for _ in range(_MAX_ENCRYPTION_REQUESTS + 1):
            body = await self._reader.read_startup()
            if body is None:
                return None
            message = decode_startup(body)
            if isinstance(message, codec.StartupMessage):
                return message
            if isinstance(message, codec.CancelRequest):
                secret = bytes(message.secret_key)
                await self._host.cancel(CancelKey(message.process_id, secret))
                return None
            await self._stream.send(_NO_ENCRYPTION)
        raise WireError('too many requests for encryption')

    async def _authenticate(
        self,
        startup: dict[str, str],
        document: Document,
    ) -> Login | None:
        name = startup.get('user', '')
        user = document.find_user(name)
        record = self._get_scram_record(name, user)
        if not await self._check_password(record) or user is None:
            self._host.metrics.count('caller.login_refused')
            await self._send_refusal(refuse(Code.BAD_LOGIN))
            return None
        service = startup.get('database', name)
        if document.find_service(service) is None:
            detail = f'service {service!r}'
            await self._send_refusal(refuse(Code.NOT_CONFIGURED, detail))
            return None
        return Login(user, startup)

    def _get_scram_record(self, name: str, user: User | None) -> ScramRecord:
        """Return the record to check the password against.

        An unknown user gets a deterministic fake record, so that neither the
        timing nor the error reveals whether a user exists.
        """
        if user is not None:
            return decode_verifier(user.verifier)
        salt = self._host.ring.sign(f'unknown user {name}'.encode())
        digest = hashlib.sha256(salt).digest()
        return ScramRecord(salt, digest, digest, _ITERATIONS)

    async def _check_password(self, record: ScramRecord) -> bool:
        credentials = (
            record.salt,
            record.stored_key,
            record.server_key,
            record.iterations,
        )
        server = _MECHANISM.make_server(lambda name: credentials)
        mechanism_offer = codec.AuthenticationSASL(mechanisms=[_MECHANISM.name])
        await self._stream.send(mechanism_offer.to_wire())
        try:
            return await self._exchange(server)
        except (scramp.ScramException, UnicodeDecodeError):
            return False

    async def _exchange(self, server: Any) -> bool:
        server.set_client_first(
            await self._read_sasl(ConnectionPhase.AUTHENTICATING_SASL_INITIAL),
        )
        challenge = server.get_server_first().encode()
        await self._stream.send(
            codec.AuthenticationSASLContinue(data=challenge).to_wire(),
        )
        server.set_client_final(
            await self._read_sasl(
                ConnectionPhase.AUTHENTICATING_SASL_CONTINUE,
            ),
        )
        proof = server.get_server_final().encode()
        await self._stream.send(
            codec.AuthenticationSASLFinal(data=proof).to_wire(),
        )
        return True

    async def _read_sasl(self, phase: ConnectionPhase) -> str:
        frame = await self._reader.read_frame()
        if frame is None:
            raise WireError('the caller left during log-in')
        return bytes(decode_frontend(frame, phase).data).decode()

    async def _send_refusal(self, refusal: Refusal) -> None:
        await self._stream.send(encode_refusal(refusal, 'FATAL'))


def decode_verifier(text: str) -> ScramRecord:
    """Parse a SCRAM verifier in the format of PostgreSQL's ``pg_authid``.

    Examples
    --------
    >>> record = decode_verifier(make_verifier('word', b'0123456789abcdef'))
    >>> record.iterations, record.salt
    (4096, b'0123456789abcdef')
    """
    _, salted, keys = text.split('$')
    iterations, salt = salted.split(':')
    stored_key, server_key = keys.split(':')
    return ScramRecord(
        b64decode(salt),
        b64decode(stored_key),
        b64decode(server_key),
        int(iterations),
    )


def make_verifier(password: str, salt: bytes) -> str:
    """Return the SCRAM verifier of a password.

    Parameters
    ----------
    password : str
        The password.
    salt : bytes
        At least 16 random bytes.
    """
    if len(salt) < _SALT_BYTES:
        raise ValueError(f'salt has {len(salt)} bytes, expected at least 16')
    auth_info = _MECHANISM.make_auth_info(password, salt=salt)
    encoded = [
        scramp.utils.b64enc(part) if isinstance(part, bytes) else str(part)
        for part in auth_info
    ]
    salt_text, stored_key, server_key, iterations = encoded
    salted = f'{iterations}:{salt_text}'
    return f'SCRAM-SHA-256${salted}${stored_key}:{server_key}'
