"""Nodes that are restarted once they have confirmed the end of a term.

The next process knows nothing of it, and the store may refuse to tell: it
refuses single calls beyond its rate, and may turn a machine away.
"""

import curio
import pytest

from deckdrum.standins.users import DatabaseServer, StoreFault
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.links import CutKind
from deckdrum.testing.nodes import SERVICE
from deckdrum.testing.replaced_primaries import Reader, Writer

_LEADERSHIP = 'deckdrum-leadership'
#: Time after a change within which a node without news uses the successor.
_SETTLED_S = 3.0


class _RestartedVoter:
    """A change during which a node confirms, is killed and starts again.

    One replica answers the driver late, so that the restarted node can get
    proof from it; only that node reaches the former primary then.
    """

    def __init__(self, deployment: LinkedDeployment) -> None:
        self._deployment = deployment
        group = deployment.group
        self._former = group.primary
        self._slow = next(
            server
            for server in group.servers.values()
            if server is not self._former
        )

    async def begin_change(self) -> int:
        """Cut the servers off; return the number of the driver."""
        for number, _ in enumerate(self._deployment.nodes):
            await self._cut(number, self._former, CutKind.RESET)
            await self._cut(number, self._slow, CutKind.SILENT)
        await self._deployment.wait_for(lambda: bool(self._list_drivers()))
        return self._list_drivers()[0]

    async def restart(self, number: int, *, is_turned_away: bool) -> None:
        """Restart a node once it has confirmed the end of the term."""
        deployment = self._deployment
        running = deployment.nodes[number].node
        state = running.services[SERVICE].leadership_state
        await deployment.wait_for(lambda: state.closed_term >= 1)
        await deployment.kill_node(number)
        for server in (self._former, self._slow):
            await deployment.heal_link(number, server.name)
        store = deployment.store
        store.refused_kinds[f'n{number}'] = {_LEADERSHIP}
        if is_turned_away:
            store.turned_away[f'n{number}'] = StoreFault.BUSY
        await deployment.restart_node(number)

    async def end_change(self, driver: int, slow_for: float) -> None:
        """Let the driver reach the slow replica, and wait for the successor."""
        await curio.sleep(slow_for)
        await self._deployment.heal_link(driver, self._slow.name)
        await self._deployment.wait_for(
            lambda: bool(self._deployment.group.takeovers)
        )

    async def _cut(
        self, number: int, server: DatabaseServer, kind: CutKind
    ) -> None:
        await self._deployment.cut_link(number, server.name, kind)

    def _list_drivers(self) -> list[int]:
        return [
            number
            for number, running in enumerate(self._deployment.nodes)
            if running.node.services[SERVICE].is_changing_primary
        ]


@pytest.mark.parametrize('slow_for', [0.2, 0.4, 0.6, 0.7, 0.8, 0.9])
@pytest.mark.parametrize('is_turned_away', [False, True])
def test_node_restarted_after_its_consent_reads_at_no_replaced_primary(
    is_turned_away: bool, slow_for: float
) -> None:
    """The consent of its former process counted for it."""

    async def scenario(deployment: LinkedDeployment) -> None:
        change = _RestartedVoter(deployment)
        writers = [Writer(deployment, number) for number in range(3)]
        tasks = [await curio.spawn(each.run, daemon=True) for each in writers]
        await curio.sleep(0.5)
        driver = await change.begin_change()
        restarted = (driver + 1) % len(deployment.nodes)
        await tasks[restarted].cancel()
        await change.restart(restarted, is_turned_away=is_turned_away)
        reader = Reader(deployment, restarted, writers)
        await curio.spawn(reader.run, daemon=True)
        await change.end_change(driver, slow_for)
        await curio.sleep(_SETTLED_S)
        assert not reader.stale

    run_linked_scenario(scenario)
