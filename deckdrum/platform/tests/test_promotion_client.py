"""Promotion requests that are late, unanswered or cancelled."""

import math
import socket
import struct
from collections.abc import Awaitable, Callable

import curio
import pytest

from deckdrum.leadership.promotion_client import (
    PromotionOutcome,
    PromotionRequest,
)
from deckdrum.platform.promotion_client import PlatformPromotionClient
from deckdrum.utils import Address, Stream, dial, http
from deckdrum.utils.virtualtime import run_virtual

_TIMEOUT_S = 0.6
_LARGE_BYTES = 4_000_000


class _LatePlatform:
    """A listener that reads nothing until it is asked to."""

    def __init__(self) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = Address(*self._listener.getsockname())

    def read_until_reset(self) -> bytes:
        """Return what arrived before the reset, which must come."""
        connection, _ = self._listener.accept()
        connection.settimeout(1)
        arrived = bytearray()
        with connection:
            while True:
                try:
                    chunk = connection.recv(65536)
                except ConnectionResetError:
                    return bytes(arrived)
                assert chunk, 'closed in order'
                arrived += chunk

    async def promote(
        self, send_before: float = math.inf, service: str = 'stalls'
    ) -> PromotionOutcome:
        """Send a promotion request."""
        request = PromotionRequest(service, 'i-1', 'n1', 24, send_before)
        client = PlatformPromotionClient(self.address)
        return await client.promote(request, _TIMEOUT_S)


def _run(scenario: Callable[[_LatePlatform], Awaitable[None]]) -> None:
    run_virtual(scenario, _LatePlatform())


def _delay_connections(monkeypatch: pytest.MonkeyPatch, delay: float) -> None:
    """Let connections stand only after `delay` seconds."""

    async def dial_late(address: Address, timeout: float) -> Stream:
        stream = await dial(address, timeout)
        await curio.sleep(delay)
        return stream

    monkeypatch.setattr(http, 'dial', dial_late)


def test_request_is_not_sent_after_its_claim_has_expired() -> None:
    """Another node may have taken the claim over by then."""

    async def scenario(platform: _LatePlatform) -> None:
        outcome = await platform.promote(await curio.clock() - 0.001)
        assert outcome is PromotionOutcome.NOT_ATTEMPTED
        assert not platform.read_until_reset()

    _run(scenario)


def test_claim_that_expires_during_the_connect_sends_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connecting takes time, and the process may have been stopped."""
    _delay_connections(monkeypatch, 0.4)

    async def scenario(platform: _LatePlatform) -> None:
        outcome = await platform.promote(await curio.clock() + 0.3)
        assert outcome is PromotionOutcome.NOT_ATTEMPTED
        assert not platform.read_until_reset()

    _run(scenario)


def test_request_is_sent_within_the_lifetime_of_its_claim(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Verifies that the checks above can fail."""
    _delay_connections(monkeypatch, 0.4)

    async def scenario(platform: _LatePlatform) -> None:
        outcome = await platform.promote(await curio.clock() + 0.5)
        assert outcome is PromotionOutcome.UNKNOWN
        assert platform.read_until_reset().startswith(b'POST /promote')

    _run(scenario)


def test_failed_connect_is_no_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a byte sent, the promotion cannot take effect."""

    async def fail(address: Address, timeout: float) -> Stream:
        await curio.sleep(timeout)
        raise ConnectionAbortedError(f'cannot connect to {address}')

    monkeypatch.setattr(http, 'dial', fail)

    async def scenario(platform: _LatePlatform) -> None:
        outcome = await platform.promote()
        assert outcome is PromotionOutcome.NOT_ATTEMPTED

    _run(scenario)


def test_unanswered_request_does_not_arrive_later() -> None:
    """What a slow link still holds at the timeout must be discarded."""

    async def scenario(platform: _LatePlatform) -> None:
        outcome = await platform.promote(service='s' * _LARGE_BYTES)
        assert outcome is PromotionOutcome.UNKNOWN
        assert len(platform.read_until_reset()) < _LARGE_BYTES

    _run(scenario)


def test_cancelled_request_does_not_arrive_later() -> None:
    """A node that stops must not leave a request behind."""

    async def scenario(platform: _LatePlatform) -> None:
        calling = await curio.spawn(
            platform.promote, math.inf, 's' * _LARGE_BYTES
        )
        await curio.sleep(_TIMEOUT_S / 2)
        await calling.cancel()
        assert len(platform.read_until_reset()) < _LARGE_BYTES

    _run(scenario)


def test_request_of_a_stopped_process_is_discarded_by_the_kernel(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stopped or killed process cannot reset the connection itself."""
    streams = []

    async def dial_recorded(address: Address, timeout: float) -> Stream:
        streams.append(await dial(address, timeout))
        return streams[-1]

    monkeypatch.setattr(http, 'dial', dial_recorded)

    async def scenario(platform: _LatePlatform) -> None:
        send_before = await curio.clock() + 1
        calling = await curio.spawn(platform.promote, send_before)
        await curio.sleep(_TIMEOUT_S / 2)
        raw = streams[0]._raw
        unacknowledged = raw.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        linger = raw.getsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.calcsize('ii')
        )
        assert unacknowledged == _TIMEOUT_S * 1000
        assert struct.unpack('ii', linger) == (1, 0)
        await calling.join()

    _run(scenario)
