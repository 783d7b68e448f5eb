"""Primary changes whose driver loses its path to the promoted server."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import curio

from deckdrum.standins.users import DatabaseServer, StoreFault
from deckdrum.testing.linked_nodes import LinkedDeployment
from deckdrum.testing.replaced_primaries import (
    Writer,
    find_disordered_promotions,
    find_replaced_primary_writes,
)

#: Writes before the primary is lost.
_STEADY_TIME_S: Final = 0.5
#: Longest wait for the first promotion, and then for a second one.
_PROMOTION_TIMEOUT_S: Final = 10.0
_SECOND_PROMOTION_TIMEOUT_S: Final = 4.0
_POLL_INTERVAL_S: Final = 0.005
#: Duration of the store's fault; longer than a leadership proof.
STORE_FAULT_DURATION_S: Final = 2.5
#: Writes after the faults: longer than the takeover of an unfinished change.
RECOVERY_TIME_S: Final = 6.0
SLOW_STORE_DELAY_S: Final = 1.0
MIN_CUT_DELAY_S: Final = 0.05
MAX_CUT_DELAY_S: Final = 0.4
_MAX_EXTRA_CUT_NODES: Final = 2
#: Range of `UnseenPromotion.fault_lead`, in seconds.
_MIN_FAULT_LEAD_S: Final = -0.1
_MAX_FAULT_LEAD_S: Final = 0.3
_TRUTH_VALUES: Final = (False, True)


@dataclass(frozen=True, slots=True)
class UnseenPromotion:
    """A primary change whose driver does not see its promotion.

    Attributes
    ----------
    cut_delay : float
        Time from the promotion call to the cut of the driver's link to the
        promoted server, in seconds.
    store_fault : StoreFault
        Fault of the store when a second promotion takes effect.
    store_delay : float
        Delay of the store's answers then, in seconds; 0 leaves it as it is.
    turned_away : frozenset of int
        Numbers of the nodes for which the store fails; empty for all.
    fault_lead : float
        Time from the fault of the store to the effect of the second promotion,
        in seconds.
    cut_nodes : frozenset of int
        Numbers of further nodes that lose their link to the promoted server.
    is_crash : bool
        Whether the former primary refuses connections instead of being silent.
    """

    cut_delay: float
    store_fault: StoreFault = StoreFault.NONE
    store_delay: float = 0
    turned_away: frozenset[int] = frozenset()
    fault_lead: float = 0.02
    cut_nodes: frozenset[int] = frozenset()
    is_crash: bool = False


@dataclass(slots=True)
class ChangeOutcome:
    """What a scenario left behind.

    Attributes
    ----------
    violations : list of str
        Acknowledged writes of replaced primaries.
    disordered : list of str
        Promotion calls out of the order of fencing tokens.
    """

    violations: list[str] = field(default_factory=list)
    disordered: list[str] = field(default_factory=list)


def draw_unseen_promotion(seed: int, nodes: int) -> UnseenPromotion:
    """Return a case drawn with a seed."""
    randomness = Random(seed)
    faults = [each for each in StoreFault if each is not StoreFault.NONE]
    turned_away = randomness.sample(range(nodes), randomness.randint(1, nodes))
    cut_nodes = randomness.sample(
        range(nodes), randomness.randint(0, _MAX_EXTRA_CUT_NODES)
    )
    fails_for_all = randomness.choice(_TRUTH_VALUES)
    return UnseenPromotion(
        cut_delay=randomness.uniform(MIN_CUT_DELAY_S, MAX_CUT_DELAY_S),
        store_fault=randomness.choice(faults),
        turned_away=frozenset(() if fails_for_all else turned_away),
        fault_lead=randomness.uniform(_MIN_FAULT_LEAD_S, _MAX_FAULT_LEAD_S),
        cut_nodes=frozenset(cut_nodes),
        is_crash=randomness.choice(_TRUTH_VALUES),
    )


class UnseenPromotionScenario:
    """Plays one case on a deployment.

    Parameters
    ----------
    deployment : LinkedDeployment
        Nodes and databases.
    case : UnseenPromotion
        The faults.
    """

    def __init__(
        self, deployment: LinkedDeployment, case: UnseenPromotion
    ) -> None:
        self._deployment = deployment
        self._case = case

    async def play(self) -> ChangeOutcome:
        """Play the case; return what it left behind."""
        deployment = self._deployment
        writers = [
            Writer(deployment, number)
            for number in range(len(deployment.nodes))
        ]
        tasks = [
            await curio.spawn(writer.run, daemon=True) for writer in writers
        ]
        await curio.sleep(_STEADY_TIME_S)
        await self._lose_primary(deployment.group.primary)
        await self._cut_driver()
        await self._break_store()
        await deployment.heal_links()
        await curio.sleep(RECOVERY_TIME_S)
        for task in tasks:
            await task.cancel()
        return self._judge(writers)

    async def _lose_primary(self, primary: DatabaseServer) -> None:
        if self._case.is_crash:
            await primary.crash()
        primary.is_unresponsive = True

    async def _cut_driver(self) -> None:
        """Cut the driver, and others, from the server that it has ordered."""
        group = self._deployment.group
        await self._wait_for_promotions(1, _PROMOTION_TIMEOUT_S)
        server, holder, _ = group.promotions[0]
        await curio.sleep(self._case.cut_delay)
        driver = int(holder.removeprefix('n'))
        for number in sorted(self._case.cut_nodes.union((driver,))):
            await self._deployment.cut_link(number, server)

    async def _break_store(self) -> None:
        """Let the store fail around the effect of a second promotion."""
        case = self._case
        store = self._deployment.store
        await self._wait_for_promotions(2, _SECOND_PROMOTION_TIMEOUT_S)
        lead = min(case.fault_lead, self._deployment.group.promotion_time)
        await curio.sleep(self._deployment.group.promotion_time - lead)
        usual_delay = store.delay
        store.delay = case.store_delay or usual_delay
        if case.turned_away:
            store.turned_away |= {
                f'n{number}': case.store_fault for number in case.turned_away
            }
        else:
            store.fault = case.store_fault
        await curio.sleep(STORE_FAULT_DURATION_S)
        store.delay = usual_delay
        store.fault = StoreFault.NONE
        store.turned_away.clear()

    async def _wait_for_promotions(self, count: int, timeout: float) -> None:
        """Wait until another server was promoted `count` times."""
        group = self._deployment.group
        async with curio.ignore_after(timeout):
            while len({each[0] for each in group.promotions}) < count:
                await curio.sleep(_POLL_INTERVAL_S)

    def _judge(self, writers: Iterable[Writer]) -> ChangeOutcome:
        group = self._deployment.group
        acknowledged: dict[str, Any] = {}
        for writer in writers:
            acknowledged |= writer.acknowledged
        return ChangeOutcome(
            find_replaced_primary_writes(group, acknowledged),
            find_disordered_promotions(group.promotions),
        )
