"""Nodes that run on after the entry of their former process is removed.

The store may carry out a removal late, and it may turn the next process of the
node away, which then learns of the removal from its peers only.
"""

from dataclasses import dataclass, field

import curio
import pytest

from deckdrum.standins.users import StoreFault
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.nodes import CURRENT

_RESTARTED = 2
_MEMBERS = 'deckdrum-members'
#: Time after a change within which each node serves again.
_SERVED_AGAIN_S = 3.0


@dataclass(slots=True)
class _Reads:
    """Reads without pauses: when each began, and its row."""

    answers: list[tuple[float, str]] = field(default_factory=list)

    async def run(self, reader: LineClient) -> None:
        """Read until cancelled."""
        while True:
            began = await curio.clock()
            reply = await reader.ask('READ a')
            self.answers.extend((began, row) for row in reply.rows)

    def list_rows(self, since: float) -> list[str]:
        """Return the rows of the reads that began after `since`."""
        return [row for began, row in self.answers if began > since]


async def _restart_turned_away(
    deployment: LinkedDeployment, *, is_leaving: bool
) -> None:
    """Restart a node whose entry is not removed yet, without the store."""
    number = _RESTARTED
    if is_leaving:
        await deployment.nodes[number].node.begin_shutdown()
    await deployment.kill_node(number)
    deployment.store.turned_away[f'n{number}'] = StoreFault.BUSY
    await deployment.restart_node(number)
    restarted = deployment.nodes[number].node
    await deployment.wait_for(lambda: restarted.is_ready)


async def _replace_primary(deployment: LinkedDeployment) -> float:
    """Replace the primary; return when its successor took the first write."""
    await deployment.group.primary.drain()
    await deployment.wait_for(lambda: bool(deployment.group.takeovers))
    writer = await deployment.connect(CURRENT, 0)
    await writer.write_until_done()
    now: float = await curio.clock()
    return now


@pytest.mark.parametrize(
    ('is_leaving', 'serves_for'),
    [(False, 0), (False, 0.3), (False, 0.6), (True, 1.2), (True, 2.0)],
)
@pytest.mark.parametrize('known_for', [0, 0.1, 0.2])
def test_node_whose_entry_is_removed_late_reads_at_no_replaced_primary(
    known_for: float, is_leaving: bool, serves_for: float
) -> None:
    """The node that changed the primary knew of the removal, this one not.

    So it was not asked, and read at the former primary.
    """

    async def scenario(deployment: LinkedDeployment) -> None:
        former = deployment.group.primary
        await _restart_turned_away(deployment, is_leaving=is_leaving)
        await curio.sleep(serves_for)
        writer = await deployment.connect(CURRENT, 0)
        assert (await writer.ask('WRITE a 1')).is_done
        reads = _Reads()
        reader = await deployment.connect(CURRENT, _RESTARTED)
        reading = await curio.spawn(reads.run, reader)
        await deployment.wait_for(lambda: bool(reads.answers))
        former.is_replication_blocked = True
        await deployment.store.delete(_MEMBERS, f'n{_RESTARTED}')
        await curio.sleep(known_for)
        acknowledged_at = await _replace_primary(deployment)
        await curio.sleep(_SERVED_AGAIN_S)
        await reading.cancel()
        later = reads.list_rows(acknowledged_at)
        assert 'a-1' not in later
        assert later

    run_linked_scenario(scenario)
