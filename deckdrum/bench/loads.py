"""Callers of one group that run one statement over and over."""

import json
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.bench.deployment import Deployment
from deckdrum.bench.experiments.base import DurationHistogram
from deckdrum.databases import QueryResult

_SERVICE: Final = 'stalls'
#: Pause after a refusal that advises none, in seconds.
_PAUSE: Final = 1.0


@dataclass(slots=True)
class Tally:
    """What one group got: times and moments of answers, and refusals."""

    times: DurationHistogram = field(default_factory=DurationHistogram)
    done_at: list[float] = field(default_factory=list)
    refused: int = 0
    longest: float = 0

    def count(self, start: float, end: float) -> int:
        """Return the answers between two moments."""
        return sum(start <= at < end for at in self.done_at)


@dataclass(slots=True)
class GroupLoad:
    """Callers of one group; they ask again when they are told to.

    `pause` is a caller's rest after an answer, in seconds.
    """

    deployment: Deployment
    group: str
    statement: str
    pause: float
    tally: Tally = field(default_factory=Tally)
    is_over: bool = False
    _tasks: list[Any] = field(default_factory=list)

    async def start(self, callers: int) -> None:
        """Start callers, spread over the proxies."""
        proxies = sorted(self.deployment.proxies)
        for place in range(callers):
            proxy = proxies[place % len(proxies)]
            self._tasks.append(await curio.spawn(self._run, proxy))

    async def finish(self) -> Tally:
        """End the callers; return what they got."""
        self.is_over = True
        for task in self._tasks:
            await task.join()
        return self.tally

    async def _run(self, proxy: str) -> None:
        client = await self.deployment.connect(proxy, self.group, _SERVICE)
        while not self.is_over:
            began = await curio.clock()
            answer = await client.run(self.statement)
            rest = self._note(answer, began, await curio.clock())
            await curio.sleep(rest)
        await client.close()

    def _note(self, answer: QueryResult, began: float, now: float) -> float:
        """Note an answer; return how long to rest."""
        tally = self.tally
        tally.longest = max(tally.longest, now - began)
        if not answer.sqlstate:
            tally.times.add(now - began)
            tally.done_at.append(now)
            return self.pause
        tally.refused += 1
        told = json.loads(answer.detail or '{}')
        return float(told.get('retry_after_seconds') or _PAUSE)
