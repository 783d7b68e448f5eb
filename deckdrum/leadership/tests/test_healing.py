"""Partitions of a primary that heal at every step of a change."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial

import curio
import pytest

from deckdrum.leadership.state import LeadershipState
from deckdrum.standins.users import Connectivity, DatabaseServer
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import CURRENT, Deployment, run_scenario

HEALING_STEP_S = 0.05
#: Time after the partition in which its effects show.
RECOVERY_S = 1.0
WRITE_INTERVAL_S = 0.05
#: Steps of one test; four of them cover longer than a change takes.
BLOCK_STEPS = 16


@dataclass(slots=True)
class Writer:
    """A client that writes numbered values, and what it was told of them."""

    client: LineClient
    numbers: Iterator[int]
    #: When each write was acknowledged, by its number.
    acknowledged: dict[int, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            number = next(self.numbers)
            reply = await self.client.ask(f'WRITE key {number}')
            if reply.is_done:
                self.acknowledged[number] = await curio.clock()
            await curio.sleep(WRITE_INTERVAL_S)


def list_writes(server: DatabaseServer) -> set[int]:
    """Return the numbers of the writes in the log of a server."""
    return {
        int(arguments.split(' ')[1])
        for entry in server.log
        for _, arguments in entry.writes
    }


async def find_lost(
    cut: Connectivity, duration: float, deployment: Deployment
) -> set[int]:
    """Return the lost writes that were acknowledged after the partition began.

    A group without synchronous replicas may lose earlier ones.
    """
    numbers = itertools.count(1)
    writers = [
        Writer(await deployment.connect(CURRENT, node), numbers)
        for node in range(len(deployment.nodes))
    ]
    async with curio.TaskGroup() as tasks:
        for writer in writers:
            await tasks.spawn(writer.run)
        await curio.sleep(0.2)
        began = await curio.clock()
        primary = deployment.group.primary
        primary.connectivity = cut
        await curio.sleep(duration)
        primary.connectivity = Connectivity.OPEN
        await curio.sleep(RECOVERY_S)
        await tasks.cancel_remaining()
    kept = list_writes(deployment.group.primary)
    is_synchronous = deployment.group.synchronous_replicas > 0
    return {
        number
        for writer in writers
        for number, at in writer.acknowledged.items()
        if number not in kept and (is_synchronous or at > began)
    }


def run_partition(
    cut: Connectivity, duration: float, synchronous: int = 0
) -> set[int]:
    """Return the writes that a partition of the primary loses."""
    lost: set[int] = run_scenario(
        partial(find_lost, cut, duration), synchronous_replicas=synchronous
    )
    return lost


@pytest.mark.parametrize('synchronous', [0, 1])
@pytest.mark.parametrize('cut', [Connectivity.ONE_WAY, Connectivity.CUT_OFF])
@pytest.mark.parametrize('block', range(4))
def test_partition_that_heals_during_a_change_loses_no_write(
    block: int, cut: Connectivity, synchronous: int
) -> None:
    """A held answer of the old primary must not be acknowledged."""
    steps = range(1 + block * BLOCK_STEPS, 1 + (block + 1) * BLOCK_STEPS)
    durations = [round(step * HEALING_STEP_S, 2) for step in steps]
    lost = {
        duration: run_partition(cut, duration, synchronous)
        for duration in durations
    }
    assert not any(lost.values()), lost


def test_disabled_rule_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The sweep must meet the moments in which a term's end matters."""
    monkeypatch.setattr(
        LeadershipState, 'can_acknowledge', lambda state, term, now: True
    )
    assert any(
        run_partition(Connectivity.CUT_OFF, duration)
        for duration in (1.85, 1.9, 1.95)
    )
