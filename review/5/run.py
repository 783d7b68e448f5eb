"""ONE: a node that could not register acknowledges at a replaced primary."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from standins import Client, now, run_case  # noqa: E402

ROUNDS = 18
#: How long the store turns the new machine away, and how long the primary is
#: partitioned from the other node.
TURNED_AWAY_FOR_S = 3.6
CUT_FOR_S = 2.4
SETTLE_S = 1.6
SESSIONS = 3


async def write_steadily(case, node, acknowledged, until):
    """Write through one node; note what was acknowledged, and when."""
    while now() < until:
        client = Client(case.log, node, 'pitch')
        try:
            await client.open()
            while now() < until:
                reply = await client.ask('WRITE k1 x', timeout=2)
                if reply.is_done:
                    acknowledged[client.last_id] = (now(), node.name)
                if reply.state != 'I':
                    break
                await asyncio.sleep(0.01)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)
        client.close()


async def play_round(case, number, acknowledged, randomness):
    """Add a node while the primary is partitioned from the one that runs."""
    group = case.group
    old = case.nodes[0]
    if case.with_trouble:
        case.store.turned_away[number] = 503
        case.log('trouble', what='the store turns it away', machine=number)
    node = await case.add_node(number)
    until = now() + TURNED_AWAY_FOR_S
    writers = [
        asyncio.ensure_future(
            write_steadily(case, node, acknowledged, until)
        )
        for _ in range(SESSIONS)
    ]
    await asyncio.sleep(randomness.uniform(0.35, 0.75))
    primary = group.primary
    if case.with_trouble:
        case.log('trouble', what='partition', db=primary.name, node=old.name)
        group.cut_links.add((old.name, primary.name))
    await asyncio.sleep(CUT_FOR_S)
    group.cut_links.clear()
    case.log('trouble.over', db=primary.name)
    await asyncio.sleep(max(0, until - now()))
    case.store.turned_away.clear()
    await asyncio.gather(*writers)
    node.copy_log(case.log, ['leadership.'])
    node.kill()
    case.nodes.remove(node)
    await asyncio.sleep(SETTLE_S)


async def main(case):
    """Return whether a replaced primary's commit was acknowledged."""
    group = case.group
    await case.start()
    await asyncio.sleep(3)
    acknowledged = {}
    randomness = random.Random()
    steady = asyncio.ensure_future(
        write_steadily(case, case.nodes[0], acknowledged, now() + 200)
    )
    for number in range(1, ROUNDS + 1):
        await play_round(case, number, acknowledged, randomness)
    steady.cancel()
    committed = {}
    broken = 0
    for at, db, term, ids in group.commits:
        for each in ids:
            committed[each] = (at, db, term)
    for (took_effect, db, _), term in zip(
        group.takeovers, group.takeover_terms, strict=True
    ):
        for each, (acknowledged_at, node) in acknowledged.items():
            at, at_db, at_term = committed[each]
            if at > took_effect and at_term < term:
                broken += 1
                case.log('check', id=each, committed_at=round(at, 4),
                         db=at_db, its_term=at_term, node=node,
                         acknowledged_at=round(acknowledged_at, 4),
                         leads=db.name, term=term,
                         since=round(took_effect, 4))
    case.log('checked', acknowledged=len(acknowledged), broken=broken,
             takeovers=len(group.takeovers))
    case.nodes[0].copy_log(case.log, ['leadership.'])
    return broken > 0 if len(acknowledged) > 100 else None


run_case(main, HERE / 'record.txt', nodes=1, limit=115)
