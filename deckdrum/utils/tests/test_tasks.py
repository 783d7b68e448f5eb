"""Tasks that run as long as their process."""

import io
import json

import curio

from deckdrum.utils import open_journal
from deckdrum.utils.tasks import keep_running


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
