"""A message that was sent in part does not block the peer."""

import curio
import pytest

from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.messages import BatchRefused, Rows
from deckdrum.utils import Address, Listener, Stream, dial
from deckdrum.utils.virtualtime import run_virtual

#: More than the buffers of a loopback connection hold.
PAYLOAD_BYTES = 30_000_000
SEND_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 5.0


async def send_in_part(stream: Stream) -> None:
    """Cancel a message that the peer does not read, and send another."""
    channel = StreamChannel(stream)
    async with curio.ignore_after(SEND_TIMEOUT_S):
        await channel.send(Rows(bytes(PAYLOAD_BYTES)))
    with pytest.raises(ConnectionError):
        await channel.send(BatchRefused('DD101', 'the database is gone'))


def test_peer_of_a_message_sent_in_part_is_told_at_once() -> None:
    """A caller waited for ever for the end of an answer that was given up."""

    async def read_late() -> None:
        listener = Listener(Address('127.0.0.1', 0), send_in_part)
        await listener.start()
        channel = StreamChannel(await dial(listener.address, 1))
        await curio.sleep(SEND_TIMEOUT_S * 2)
        async with curio.timeout_after(ANSWER_TIMEOUT_S):
            with pytest.raises(ConnectionError):
                await channel.receive()
        await channel.close()
        await listener.close()

    run_virtual(read_late)
