"""Tests of restarted tasks and shared calls."""

import io
import json

import curio

from deckdrum.utils import open_journal
from deckdrum.utils.tasks import SharedCall, keep_running
from deckdrum.utils.virtualtime import run_virtual


def test_failed_task_is_logged_and_restarted() -> None:
    lines = io.StringIO()
    runs: list[int] = []

    async def work(argument: int) -> None:
        runs.append(argument)
        if len(runs) < 3:
            raise KeyError('unexpected')

    curio.run(keep_running, open_journal('n1', lines), work, 7)
    assert runs == [7, 7, 7]
    logged = [json.loads(line) for line in lines.getvalue().splitlines()]
    assert [each['event'] for each in logged] == ['task.failed', 'task.failed']
    assert 'unexpected' in logged[0]['trace']


def test_concurrent_callers_share_one_call() -> None:
    calls: list[int] = []

    async def work() -> int:
        calls.append(len(calls))
        await curio.sleep(0.01)
        return len(calls)

    async def main() -> list[int]:
        shared = SharedCall(work)
        tasks = [await curio.spawn(shared.get) for _ in range(3)]
        outcome = [await task.join() for task in tasks]
        return [*outcome, await shared.get()]

    assert run_virtual(main) == [1, 1, 1, 2]


def test_cancelled_caller_does_not_cancel_the_shared_call() -> None:
    async def work() -> str:
        await curio.sleep(0.5)
        return 'done'

    async def main() -> str:
        shared = SharedCall(work)
        async with curio.ignore_after(0.1):
            await shared.get()
        outcome: str = await shared.get()
        return outcome

    assert run_virtual(main) == 'done'
