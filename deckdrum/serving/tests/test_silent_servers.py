"""Servers that do not answer what a session sends besides statements."""

from typing import Any

import curio
import pytest

from deckdrum.fleet.channels import LocalChannel
from deckdrum.fleet.node_messages import BorrowLink, LinkLent
from deckdrum.node.lending import LOAN_IDLE_TIMEOUT_S, ConnectionLender
from deckdrum.testing.nodes import (
    CURRENT,
    SERVICE,
    Deployment,
    run_scenario,
)


def test_value_in_a_transaction_is_answered_by_a_silent_server() -> None:
    """The caller waited without end, and its connection with it.

    The value counted as set though the caller was told that it was not.
    """

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        assert (await client.ask('SET colour red')).is_done
        await client.ask('BEGIN')
        assert (await client.ask('WRITE a 1')).is_done
        primary = deployment.group.primary
        primary.is_unresponsive = True
        began = await curio.clock()
        reply = await client.ask('SET colour blue')
        assert reply.text.startswith('ABORTED')
        assert await curio.clock() - began < 2
        primary.is_unresponsive = False
        assert (await client.ask('ROLLBACK')).state == 'I'
        await client.write_until_done()
        executed = deployment.group.executed_statements[-1]
        assert executed.values == (('colour', 'red'),)

    run_scenario(scenario)


def test_connection_lent_to_a_silent_borrower_is_returned() -> None:
    """A suspended borrower kept the connection until it ran again."""

    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        name = deployment.group.primary.name
        lender, borrower = LocalChannel.open_pair()
        request = BorrowLink(SERVICE, name, CURRENT, 1, {}, None)
        await curio.spawn(_lend, node.lender, lender, request, daemon=True)
        answer = await borrower.receive()
        assert isinstance(answer, LinkLent)
        assert answer.is_lent
        await curio.sleep(LOAN_IDLE_TIMEOUT_S + 1)
        assert not node.lender.lent
        assert not node.services[SERVICE].servers[name].load

    run_scenario(scenario)


async def _lend(
    lender: ConnectionLender, channel: Any, request: BorrowLink
) -> None:
    with pytest.raises(ConnectionAbortedError):
        await lender.lend(channel, request)
