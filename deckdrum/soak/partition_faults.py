"""Faults of a soak test that block links of single nodes."""

import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import curio

from deckdrum.soak.environment import SoakEnvironment
from deckdrum.soak.faults import STORE_FAULTS, Fault
from deckdrum.soak.partitions import (
    Block,
    build_peer_blocks,
    build_refusals,
)
from deckdrum.soak.processes import NodeProcess
from deckdrum.standins.users import DatabaseServer, StoreFault
from deckdrum.testing.blocked_links import BOTH_DIRECTIONS, Direction
from deckdrum.utils import Address

_DIRECTIONS: Final = (
    BOTH_DIRECTIONS,
    frozenset((Direction.TO,)),
    frozenset((Direction.FROM,)),
)
_MAX_LOST_PROMOTION_ANSWERS: Final = 2
#: Below the 1.5 s between the end of a claim and its takeover by another node.
_MAX_PROMOTION_DELAY_S: Final = 1.4
#: Longest wait for the promotion that follows the failure of a primary.
_PROMOTION_TIMEOUT_S: Final = 8.0
#: Longest time between a promotion call and the loss of the link.
_MAX_CUT_DELAY_S: Final = 0.4
#: Added to the duration, as a node waits 2 s for the effect of a promotion.
_EXTRA_DURATION_S: Final = 1.5
_STORE_FAULT_DURATION_S: Final = 1.5
#: Longest time from the loss of the link until the node is killed, and from
#: then until it is started again.
_MAX_KILL_DELAY_S: Final = 2.0
_MAX_RESTART_DELAY_S: Final = 1.0
_POLL_INTERVAL_S: Final = 0.01


class ServerLinkCut(Fault):
    """Nodes lose their links to a server, in one direction or both."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        name = environment.randomness.choice(sorted(environment.links))
        nodes = pick_nodes(environment)
        address = environment.links[name].address
        blocks = _build_blocks(environment, nodes, address)
        await _hold_blocks(environment, blocks, duration)
        return f'{_join(nodes)} to {name}'


class PeerLinkCut(Fault):
    """A node loses its links to other nodes, in one direction or both."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        source, *targets = pick_nodes(environment, at_least=2)
        is_one_way = environment.randomness.choice((True, False))
        blocks = [
            block
            for target in targets
            for block in build_peer_blocks(
                source, target, is_one_way=is_one_way
            )
        ]
        await _hold_blocks(environment, blocks, duration)
        kind = 'one way' if is_one_way else 'both ways'
        return f'{source.name} to {_join(targets)} {kind}'


class NodesRefused(Fault):
    """Nodes and the others refuse each other, and the primary is replaced.

    The processes run on and reach the databases and the store.
    """

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        nodes = pick_nodes(environment)
        blocks: list[Block] = []
        for source, target in itertools.product(nodes, environment.nodes):
            if target is not source:
                blocks.extend(build_refusals(source, target))
        primary = environment.reserve_server(environment.is_primary)
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(_hold_blocks, environment, blocks, duration)
            if primary is not None:
                await tasks.spawn(
                    replace_primary, environment, primary, duration
                )
        return f'{_join(nodes)}, {primary.name if primary else "no"} replaced'


class PromotionLinkCut(Fault):
    """Nodes lose their links to the promotion API."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        nodes = pick_nodes(environment)
        address = environment.group.promotion_address
        blocks = _build_blocks(environment, nodes, address)
        await _hold_blocks(environment, blocks, duration)
        return _join(nodes)


class PromotionDelayed(Fault):
    """Promotion calls are carried out late, when callers may have given up."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        delay = environment.randomness.uniform(0, _MAX_PROMOTION_DELAY_S)
        environment.group.promotion_delay = delay
        await curio.sleep(duration)
        environment.group.promotion_delay = 0
        return f'by {delay:.2f} s'


class PromotionAnswersLost(Fault):
    """Promotion calls take effect without an answer."""

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject the fault."""
        environment.group.unanswered_promotions = (
            environment.randomness.randint(1, _MAX_LOST_PROMOTION_ANSWERS)
        )
        return 'platform'


class UnseenPromotion(Fault):
    """The node that has a server promoted loses its link to that server.

    The primary fails first.  Other nodes may lose the link too, the node may
    lose its links to others or be killed and started again, and the store may
    fail when another server is promoted.
    """

    async def inject(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        """Inject and clear the fault."""
        primary = environment.reserve_server(environment.is_primary)
        if primary is None:
            return 'none free'
        primary.is_unresponsive = environment.randomness.choice((True, False))
        if not primary.is_unresponsive:
            await primary.crash()
        target = await self._cut_promoted_server(environment, duration)
        await environment.restore_server(primary)
        return f'{primary.name} {target}'

    async def _cut_promoted_server(
        self, environment: SoakEnvironment, duration: float
    ) -> str:
        calls = environment.group.promotions
        count = len(calls)
        if not await _wait_until(
            lambda: len(calls) > count, _PROMOTION_TIMEOUT_S
        ):
            return 'not replaced'
        server, name, _ = calls[count]
        await curio.sleep(environment.randomness.uniform(0, _MAX_CUT_DELAY_S))
        driver = next(each for each in environment.nodes if each.name == name)
        others = [each for each in environment.nodes if each is not driver]
        cut_nodes = [
            driver,
            *environment.randomness.sample(
                others, environment.randomness.randint(0, len(others) // 2)
            ),
        ]
        address = environment.links[server].address
        blocks = [Block(each.name, address) for each in cut_nodes]
        blocks += _build_driver_blocks(environment, driver, others)
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(
                _hold_blocks, environment, blocks, duration + _EXTRA_DURATION_S
            )
            if environment.randomness.choice((True, False)):
                await tasks.spawn(_fail_store_at_next_promotion, environment)
            if environment.randomness.choice((True, False)):
                await tasks.spawn(_restart_driver, environment, driver)
        return f'to {server}, cut from {_join(cut_nodes)}'


def pick_nodes(
    environment: SoakEnvironment, at_least: int = 1
) -> list[NodeProcess]:
    """Return random nodes: most often few of them, but not all."""
    randomness = environment.randomness
    limit = max(at_least, len(environment.nodes) - 1)
    count = min(
        randomness.randint(at_least, limit),
        randomness.randint(at_least, limit),
    )
    return randomness.sample(environment.nodes, count)


def _build_blocks(
    environment: SoakEnvironment,
    nodes: Iterable[NodeProcess],
    address: Address,
) -> list[Block]:
    directions = environment.randomness.choice(_DIRECTIONS)
    return [Block(node.name, address, directions) for node in nodes]


def _build_driver_blocks(
    environment: SoakEnvironment,
    driver: NodeProcess,
    others: Sequence[NodeProcess],
) -> list[Block]:
    """Return blocks of links of a driver to other nodes; often none."""
    randomness = environment.randomness
    if not others or randomness.choice((True, False)):
        return []
    is_one_way = randomness.choice((True, False))
    targets = randomness.sample(others, randomness.randint(1, len(others)))
    return [
        block
        for target in targets
        for block in build_peer_blocks(driver, target, is_one_way=is_one_way)
    ]


async def replace_primary(
    environment: SoakEnvironment, primary: DatabaseServer, duration: float
) -> None:
    """Let a primary drain, or crash, for the second half of a fault."""
    await curio.sleep(duration / 2)
    if environment.randomness.choice((True, False)):
        await primary.drain()
    else:
        await primary.crash()
    await curio.sleep(duration / 2)
    await environment.restore_server(primary)


async def _hold_blocks(
    environment: SoakEnvironment,
    blocks: Sequence[Block],
    duration: float,
) -> None:
    environment.partitions.add(blocks)
    await curio.sleep(duration)
    environment.partitions.remove(blocks)


async def _fail_store_at_next_promotion(environment: SoakEnvironment) -> None:
    calls = environment.group.promotions
    count = len(calls)
    if not await _wait_until(lambda: len(calls) > count, _PROMOTION_TIMEOUT_S):
        return
    environment.store.fault = environment.randomness.choice(STORE_FAULTS)
    await curio.sleep(_STORE_FAULT_DURATION_S)
    environment.store.fault = StoreFault.NONE


async def _restart_driver(
    environment: SoakEnvironment, driver: NodeProcess
) -> None:
    await curio.sleep(environment.randomness.uniform(0, _MAX_KILL_DELAY_S))
    driver.kill()
    await curio.sleep(environment.randomness.uniform(0, _MAX_RESTART_DELAY_S))
    driver.start()


async def _wait_until(check: Callable[[], bool], timeout: float) -> bool:
    async with curio.ignore_after(timeout):
        while not check():
            await curio.sleep(_POLL_INTERVAL_S)
    return check()


def _join(nodes: Iterable[NodeProcess]) -> str:
    return ' '.join(node.name for node in nodes)


#: Drawn with equal probability per entry; repeated kinds are more frequent.
PARTITION_FAULTS: Final[tuple[Fault, ...]] = (
    ServerLinkCut(),
    ServerLinkCut(),
    PeerLinkCut(),
    PeerLinkCut(),
    NodesRefused(),
    NodesRefused(),
    NodesRefused(),
    PromotionLinkCut(),
    PromotionDelayed(),
    PromotionAnswersLost(),
    UnseenPromotion(),
    UnseenPromotion(),
    UnseenPromotion(),
)
