"""Malformed input is counted and answered, and affects no other caller."""

from collections.abc import Awaitable, Callable
from random import Random

import curio
import pytest

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.callers.host import CancelKey
from deckdrum.utils import dial
from deckdrum.utils.virtualtime import run_virtual
from deckdrum.wire import Frame
from deckdrum.wire.messages import codec

STARTUP = codec.StartupMessage(params={'user': 'growers-app'}).to_wire()


def run_with_fleet(check: Callable[[Deployment], Awaitable[None]]) -> None:
    async def main() -> None:
        deployment = Deployment(Layout(services=('stalls',), proxies=1))
        await deployment.start()
        await check(deployment)
        await deployment.close()

    run_virtual(main)


def list_keys(deployment: Deployment) -> list[CancelKey | None]:
    registry = deployment.proxies['p1'].registry
    return [caller.key for caller in registry.callers]


def count_held_connections(deployment: Deployment) -> int:
    keeper = deployment.proxies['p1'].keeper_manager.keepers['stalls']
    return sum(pool.queue.held for pool in keeper.pools.values())


@pytest.mark.parametrize(
    'payload',
    [
        b'\x00\x00\x00\x01',
        b'\xff\xff\xff\xff' * 4,
        b'\x00\x00\x00\x08\x12\x34\x56\x78',
        b'GET / HTTP/1.1\r\n\r\n',
        STARTUP[:9],
        STARTUP + b'p\x00\x00\x00\x02',
        STARTUP + Frame.build(b'p', b'not scram').raw,
        STARTUP + Frame.build(b'Q', b'SELECT 1\x00').raw,
        STARTUP + b'p\x7f\xff\xff\xff',
    ],
)
def test_malformed_startup_affects_no_other_caller(payload: bytes) -> None:
    async def check(deployment: Deployment) -> None:
        good = await deployment.connect('p1')
        stream = await dial(deployment.proxies['p1'].address, 1)
        await stream.send(payload)
        await curio.sleep(0.2)
        await stream.close()
        await curio.sleep(0.2)
        assert await good.read_one('SELECT 5') == '5'
        assert len(deployment.proxies['p1'].registry.callers) == 1

    run_with_fleet(check)


@pytest.mark.parametrize(
    'payload',
    [
        b'Q\x00\x00\x00\x01',
        b'\x00' * 64,
        Frame.build(b'B', b'x').raw + Frame.build(b'S').raw,
        Frame.build(b'P', b'\xff\xff').raw + Frame.build(b'S').raw,
        Frame.build(b'F', b'\x00' * 10).raw,
        Frame.build(b'd', b'copy data').raw,
        Frame.build(b'P', b'\x00SELECT 1\x00\x00\x00').raw
        + Frame.build(b'Q', b'SELECT 1\x00').raw,
        b'Q\x7f\xff\xff\xff' + b'x' * 100,
    ],
)
def test_malformed_message_is_counted_and_answered(payload: bytes) -> None:
    async def check(deployment: Deployment) -> None:
        good = await deployment.connect('p1')
        bad = await deployment.connect('p1')
        await bad.link.send(payload)
        frame = await bad.link.read_frame()
        assert frame.tag == b'E'
        assert b'08P01' in frame.raw
        proxy = deployment.proxies['p1']
        assert proxy.metrics.read_event('caller.bad_input') == 1
        assert await good.read_one('SELECT 5') == '5'

    run_with_fleet(check)


def test_proxy_survives_random_bytes() -> None:
    async def check(deployment: Deployment) -> None:
        randomness = Random(7)
        address = deployment.proxies['p1'].address
        for _ in range(150):
            stream = await dial(address, 1)
            size = randomness.randrange(1, 80)
            await stream.send(randomness.randbytes(size))
            await stream.close()
        for _ in range(50):
            bad = await deployment.connect('p1')
            size = randomness.randrange(1, 80)
            await bad.link.send(randomness.randbytes(size))
            await bad.close()
        good = await deployment.connect('p1')
        assert await good.read_one('SELECT 5') == '5'

    run_with_fleet(check)


def test_slow_login_times_out() -> None:
    async def check(deployment: Deployment) -> None:
        proxy = deployment.proxies['p1']
        stream = await dial(proxy.address, 1)
        await stream.send(STARTUP[:6])
        await curio.sleep(proxy.limits.login_timeout_s + 1)
        assert await stream.receive() == b''
        assert proxy.metrics.read_event('caller.login_timeout') == 1

    run_with_fleet(check)


def test_wrong_cancel_key_cancels_nothing() -> None:
    async def check(deployment: Deployment) -> None:
        client = await deployment.connect('p1')
        stream = await dial(deployment.proxies['p1'].address, 1)
        task = await curio.spawn(client.run, 'SELECT pg_sleep(0.5)')
        await curio.sleep(0.2)
        key = next(filter(None, list_keys(deployment)))
        cancel = codec.CancelRequest(key.process, b'\x00\x01\x02\x03')
        await stream.send(cancel.to_wire())
        answer = await task.join()
        assert not answer.sqlstate
        proxy = deployment.proxies['p1']
        assert proxy.metrics.read_event('cancel.wrong_key') == 1

    run_with_fleet(check)


def test_slow_reader_delays_only_its_own_response() -> None:
    """A caller that does not read must not exhaust the proxy's memory."""

    async def check(deployment: Deployment) -> None:
        slow = await deployment.connect('p1')
        other = await deployment.connect('p1')
        query = (
            'WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n '
            'WHERE i < 4000) SELECT i, hex(zeroblob(5000)) FROM n'
        )
        message = codec.Query(query_string=query)
        await slow.link.send(message.to_wire())
        await curio.sleep(1)
        # Backpressure reaches the database: its connection is still in use.
        assert count_held_connections(deployment) == 1
        assert await other.read_one('SELECT 6') == '6'
        received_tags: list[bytes] = []
        while not received_tags or received_tags[-1] != b'Z':
            received_tags.append((await slow.link.read_frame()).tag)
        assert received_tags.count(b'D') == 4000

    run_with_fleet(check)


def test_flush_is_answered_before_sync() -> None:
    async def check(deployment: Deployment) -> None:
        client = await deployment.connect('p1')
        parse = codec.Parse(statement='s', query='SELECT 8', param_types=[])
        describe = codec.Describe(kind='S', name='s')
        await client.link.send(
            parse.to_wire() + describe.to_wire() + codec.Flush().to_wire(),
        )
        received_tags = [(await client.link.read_frame()).tag for _ in range(3)]
        assert received_tags == [b'1', b't', b'T']
        await client.link.send(
            codec.Bind(statement='s').to_wire()
            + codec.Execute().to_wire()
            + codec.Sync().to_wire(),
        )
        received_tags = [(await client.link.read_frame()).tag for _ in range(5)]
        assert received_tags == [b'2', b'D', b'C', b'S', b'Z']

    run_with_fleet(check)
