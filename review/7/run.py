"""PINNED: a read that has been answered runs later, as another statement."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from standins import Client, now, run_case  # noqa: E402

#: How long one replica is partitioned from the nodes, how often, and the pause.
CUT_FOR_S = 0.35
CUTS = 5
CUT_GAP_S = 2.5
SESSIONS_PER_NODE = 4
#: Pause of a client between its write and its read.
PAUSE_S = 0.1


async def use_session(case, node, sent, until):
    """Write and read with a value and a prepared statement of each round."""
    number = 0
    while now() < until:
        client = Client(case.log, node, 'gate')
        try:
            await client.open()
            while now() < until:
                number += 1
                value, shape = f'v{number}', f'q{number}'
                for text in (
                    f'SET mode {value}',
                    f'PREPARE s1 READ {shape}',
                    f'WRITE {client.name} d{number}',
                ):
                    if not (await client.ask(text)).is_done:
                        raise ConnectionError
                await asyncio.sleep(PAUSE_S)
                request = f'{client.name}r{number:05x}'
                sent[request] = (value, shape)
                await client.ask(f'EXECUTE s1 {client.name}', request=request)
                if not (await client.ask('DEALLOCATE s1')).is_done:
                    raise ConnectionError
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        client.close()


async def main(case):
    """Return whether a statement ran as another one than was prepared."""
    group = case.group
    await case.start()
    await asyncio.sleep(3)
    replica = list(group.databases.values())[1]
    sent = {}
    until = now() + 2 + CUTS * (CUT_GAP_S + CUT_FOR_S)
    sessions = [
        asyncio.ensure_future(use_session(case, node, sent, until))
        for node in case.nodes
        for _ in range(SESSIONS_PER_NODE)
    ]
    await asyncio.sleep(2)
    for _ in range(CUTS if case.with_trouble else 0):
        case.log('trouble', what='partition', db=replica.name)
        group.cut_links.update(
            (node.name, replica.name) for node in case.nodes
        )
        await asyncio.sleep(CUT_FOR_S)
        group.cut_links.clear()
        case.log('trouble.over')
        await asyncio.sleep(CUT_GAP_S)
    await asyncio.gather(*sessions)
    broken = 0
    for run in group.runs:
        if run['id'] not in sent:
            continue
        value, shape = sent[run['id']]
        if run['shape'] != shape:
            broken += 1
            case.log('check', id=run['id'], db=run['db'],
                     ran_at=round(run['at'], 4), prepared_as=shape,
                     ran_as=run['shape'], value_when_sent=value,
                     value_when_run=run['values'].get('mode'))
    case.log('checked', statements=len(sent), runs=len(group.runs),
             broken=broken, promotions=len(group.promotions))
    for node in case.nodes:
        node.copy_log(case.log, ['Traceback', 'KeyError'])
    return broken > 0 if len(sent) > 100 else None


run_case(main, HERE / 'record.txt', nodes=3, work_s=0.01)
