"""RECOVER: an old primary that is left over blocks every further change."""

import asyncio
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from standins import Client, build_config, now, run_case  # noqa: E402

CALM_FOR_S = 10.0
#: How long the primary is partitioned from the nodes.
CUT_FOR_S = 5.5
#: From the promotion of a replica until it is lost for good; the old primary
#: steps down a second after it can reach the new one.
LOST_AFTER_S = 0.5
#: From the beginning of the partition until the final fault.
FINAL_FAULT_AT_S = 10.0
DOWN_S = 0.8
RECOVER_S = 12.0
CHECK_FOR_S = 10.0


async def use_route(case, node, route, outcomes, until):
    """Read and write with one session; note when each request was served."""
    randomness = random.Random(f'{node.name}{route}')
    while now() < until():
        client = Client(case.log, node, route)
        sent = now()
        try:
            await client.open()
            while now() < until():
                sent = now()
                thing = randomness.randint(1, 50)
                is_write = route != 'browse' and randomness.random() < 0.15
                text = f'WRITE k{thing} x' if is_write else f'READ k{thing}'
                reply = await client.ask(text)
                outcomes.append((sent, reply.is_done))
                if reply.state != 'I':
                    break
                await asyncio.sleep(0.05)
        except (OSError, asyncio.TimeoutError):
            outcomes.append((sent, False))
            await asyncio.sleep(0.1)
        client.close()


def count_served(outcomes, first, last):
    """Return how many requests of a time were sent, and how many served."""
    chosen = [done for sent, done in outcomes if first <= sent < last]
    return len(chosen), sum(chosen)


async def main(case):
    """Return whether under a quarter is served after the final fault."""
    group = case.group
    await case.start()
    await asyncio.sleep(2)
    outcomes = []
    end = now() + 90
    clients = [
        asyncio.ensure_future(
            use_route(case, node, route, outcomes, lambda: end)
        )
        for node in case.nodes
        for route in ('pitch', 'browse', 'gate')
    ]
    began = now()
    await asyncio.sleep(CALM_FOR_S)
    cut_at = now()
    primary = group.primary
    if case.with_trouble:
        case.log('trouble', what='partition from the nodes', db=primary.name)
        cut = {(node.name, primary.name) for node in case.nodes}
        group.cut_links |= cut

        async def heal():
            await asyncio.sleep(CUT_FOR_S)
            group.cut_links.difference_update(cut)
            case.log('trouble.over', db=primary.name)

        healing = asyncio.ensure_future(heal())
        while not group.takeovers and now() < cut_at + CUT_FOR_S:
            await asyncio.sleep(0.01)
        if group.takeovers:
            await asyncio.sleep(LOST_AFTER_S)
            lost = group.takeovers[0][1]
            case.log('trouble', what='lost for good', db=lost.name)
            lost.crash()
            asyncio.ensure_future(lost.unlist_if_silent(3.6))
        await healing
    await asyncio.sleep(max(0, cut_at + FINAL_FAULT_AT_S - now()))
    await case.store.write(
        'config', 'main', build_config(2, sync=group.sync, txIdleMs=2900)
    )
    case.log('final_fault', what='all processes are killed')
    fault_at = now()
    for node in case.nodes:
        node.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for node in case.nodes:
        node.kill()
        node.start()
    back_at = now()
    await asyncio.sleep(RECOVER_S + CHECK_FOR_S)
    end = now()
    await asyncio.wait(clients, timeout=8)
    before = count_served(outcomes, began, fault_at)
    after = count_served(outcomes, back_at + RECOVER_S, end)
    for node in case.nodes:
        node.copy_log(case.log, ['leadership.'])
    case.log('checked', before=before, after=after)
    if before[1] < before[0] / 4 or not after[0]:
        return None
    return after[1] < after[0] / 4


run_case(main, HERE / 'record.txt', nodes=3, sync=1)
