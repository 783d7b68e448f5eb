"""STALE: a node that could not register reads at a replaced primary."""

import asyncio
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from standins import Client, Database, now, run_case  # noqa: E402

ROUNDS = 10
#: Machines that run all the time, and those that are added in each round.
RUNNING = 4
ADDED = 2
#: How long the store turns the new machines away.
TURNED_AWAY_FOR_S = 4.0
#: From the primary's `draining` until it ends; `drainMs` is 7 s.
SERVES_ON_S = 7.5
ROUND_S = 9.5
GRACE_S = 6.0
READERS = 2


async def use_session(case, node, text, notes, until):
    """Repeat a statement; note when it was sent, answered and done."""
    while now() < until:
        client = Client(case.log, node, 'pitch')
        try:
            await client.open()
            while now() < until:
                sent = now()
                reply = await client.ask(text, timeout=2)
                notes[client.last_id] = (sent, now(), reply.is_done)
                if reply.state != 'I':
                    break
                await asyncio.sleep(0.01)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)
        client.close()


async def replace(group, db):
    """Replace a database: it drains, ends, and hands its log on."""
    db.state = 'draining'
    await db.publish()
    await asyncio.sleep(SERVES_ON_S)
    db.crash()
    db.role = 'replica'
    await db.unlist()
    successor = Database(group, f'{db.name}n', db.zone, 'replica')
    successor.port = db.port
    successor.term, successor.log = db.term, list(db.log)
    successor.applied = len(successor.log)
    del group.databases[db.name]
    group.databases[successor.name] = successor
    await successor.start()


async def play_round(case, number, reads, randomness):
    """Add machines while the primary is replaced as planned."""
    began = now()
    added = []
    for machine in range(number, number + ADDED):
        if case.with_trouble:
            case.store.turned_away[machine] = 503
            case.log('trouble', what='the store turns it away',
                     machine=machine)
        added.append(await case.add_node(machine))
    until = began + TURNED_AWAY_FOR_S
    readers = [
        asyncio.ensure_future(use_session(case, node, 'READ k1', reads, until))
        for node in added
        for _ in range(READERS)
    ]
    await asyncio.sleep(randomness.uniform(0.9, 1.4))
    primary = case.group.primary
    case.log('planned', what='the primary drains', db=primary.name)
    replacing = asyncio.ensure_future(replace(case.group, primary))
    await asyncio.gather(*readers)
    case.store.turned_away.clear()
    for node in added:
        node.signal(signal.SIGTERM)
    leaving_until = now() + GRACE_S
    while now() < leaving_until and any(node.is_running for node in added):
        await asyncio.sleep(0.1)
    for node in added:
        node.copy_log(case.log, ['leadership.'])
        node.kill()
        case.nodes.remove(node)
    await replacing
    await asyncio.sleep(max(0, began + ROUND_S - now()))


def find_stale(group, reads, writes):
    """Return the reads that lack a commit acknowledged before they began."""
    kept = {write[0] for entry in group.primary.log for write in entry}
    acknowledged = sorted(
        (answered, each)
        for each, (_, answered, is_done) in writes.items()
        if is_done and each in kept
    )
    stale = []
    for run in group.runs:
        leaders = [db for at, db, _ in group.takeovers if at < run['at']]
        if run['id'] not in reads or leaders[-1:] in ([], [run['server']]):
            # At the latest primary nothing can be missing.
            continue
        sent = reads[run['id']][0]
        before = [each for answered, each in acknowledged if answered < sent]
        if before and before[-1] not in run['seen']():
            stale.append((run, sent, before[-1]))
    return stale


async def main(case):
    """Return whether a read lacks a commit acknowledged before it."""
    group = case.group
    await case.start()
    await asyncio.sleep(3)
    reads, writes = {}, {}
    randomness = random.Random()
    steady = [
        asyncio.ensure_future(
            use_session(case, node, 'WRITE k1 x', writes, now() + 200)
        )
        for node in case.nodes
    ]
    for number in range(ROUNDS):
        first = RUNNING + number * ADDED
        await play_round(case, first, reads, randomness)
    for each in steady:
        each.cancel()
    stale = find_stale(group, reads, writes)
    for run, sent, missing in stale:
        case.log('check', id=run['id'], db=run['db'], sent=round(sent, 4),
                 ran=round(run['at'], 4), done=reads[run['id']][2],
                 missing=missing,
                 acknowledged_at=round(writes[missing][1], 4))
    case.log('checked', reads=len(reads), writes=len(writes),
             stale=len(stale), takeovers=len(group.takeovers))
    return bool(stale) if len(reads) > 100 else None


run_case(main, HERE / 'record.txt', nodes=RUNNING, limit=116)
