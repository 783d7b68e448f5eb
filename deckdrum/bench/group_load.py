"""Load generator: callers of one group repeating one statement."""

import json
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.bench.deployment import Deployment
from deckdrum.bench.experiments.base import DurationHistogram
from deckdrum.databases import QueryResult

_SERVICE: Final = 'stalls'
#: Used after a refusal without `retry_after_seconds`.
_DEFAULT_RETRY_DELAY_S: Final = 1.0


@dataclass(slots=True)
class LoadStatistics:
    """Answers and refusals that the callers of one group received.

    `durations` and `completion_times` cover successful requests, `refusals`
    counts failed ones, and `max_wait_s` is the longest response time of both.
    """

    durations: DurationHistogram = field(default_factory=DurationHistogram)
    completion_times: list[float] = field(default_factory=list)
    refusals: int = 0
    max_wait_s: float = 0

    def count_between(self, start: float, end: float) -> int:
        """Return the number of requests completed in an interval."""
        return sum(start <= at < end for at in self.completion_times)


@dataclass(slots=True)
class GroupLoad:
    """Callers of one group, which retry refused requests as advised.

    `pause` is the delay after a successful answer, in seconds.
    """

    deployment: Deployment
    group: str
    statement: str
    pause: float
    statistics: LoadStatistics = field(default_factory=LoadStatistics)
    is_stopping: bool = False
    _tasks: list[Any] = field(default_factory=list)

    async def start(self, callers: int) -> None:
        """Start callers, distributed evenly over the proxies."""
        proxies = sorted(self.deployment.proxies)
        for index in range(callers):
            proxy = proxies[index % len(proxies)]
            self._tasks.append(await curio.spawn(self._run, proxy))

    async def finish(self) -> LoadStatistics:
        """Stop the callers and return their statistics."""
        self.is_stopping = True
        for task in self._tasks:
            await task.join()
        return self.statistics

    async def _run(self, proxy: str) -> None:
        client = await self.deployment.connect(proxy, self.group, _SERVICE)
        while not self.is_stopping:
            started_at = await curio.clock()
            answer = await client.run(self.statement)
            delay = self._record_answer(answer, started_at, await curio.clock())
            await curio.sleep(delay)
        await client.close()

    def _record_answer(
        self, answer: QueryResult, started_at: float, now: float
    ) -> float:
        """Record an answer; return the delay before the next request."""
        statistics = self.statistics
        statistics.max_wait_s = max(statistics.max_wait_s, now - started_at)
        if not answer.sqlstate:
            statistics.durations.add(now - started_at)
            statistics.completion_times.append(now)
            return self.pause
        statistics.refusals += 1
        refusal = json.loads(answer.detail or '{}')
        return float(
            refusal.get('retry_after_seconds') or _DEFAULT_RETRY_DELAY_S
        )
