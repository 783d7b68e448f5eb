"""Tasks that run as long as their process."""

import io
import json

import curio

from deckdrum.utils import open_journal
from deckdrum.utils.tasks import SharedCall, keep_running
from deckdrum.utils.virtualtime import run_virtual


def test_failed_task_is_told_and_begun_again() -> None:
    lines = io.StringIO()
    runs: list[int] = []

    async def work(wanted: int) -> None:
        runs.append(wanted)
        if len(runs) < 3:
            raise KeyError('a defect')

    curio.run(keep_running, open_journal('n1', lines), work, 7)
    assert runs == [7, 7, 7]
    told = [json.loads(line) for line in lines.getvalue().splitlines()]
    assert [each['event'] for each in told] == ['task.failed', 'task.failed']
    assert 'a defect' in told[0]['trace']


def test_shared_call_serves_all_who_wait() -> None:
    calls: list[int] = []

    async def work() -> int:
        calls.append(len(calls))
        await curio.sleep(0.01)
        return len(calls)

    async def main() -> list[int]:
        shared = SharedCall(work)
        waiting = [await curio.spawn(shared.get) for _ in range(3)]
        found = [await task.join() for task in waiting]
        return [*found, await shared.get()]

    assert run_virtual(main) == [1, 1, 1, 2]


def test_who_leaves_a_shared_call_does_not_end_it_for_others() -> None:
    async def work() -> str:
        await curio.sleep(0.5)
        return 'done'

    async def main() -> str:
        shared = SharedCall(work)
        async with curio.ignore_after(0.1):
            await shared.get()
        found: str = await shared.get()
        return found

    assert run_virtual(main) == 'done'
