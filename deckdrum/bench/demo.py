"""The demonstration: the whole path, with figures, on embedded stand-ins."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import curio

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.experiments.failover import list_failover_reports
from deckdrum.bench.history import ReportedOutcome
from deckdrum.bench.workload import (
    Load,
    LoadProfile,
    compute_replica_share,
    create_table,
    read_rows,
)
from deckdrum.failover import FailoverReport

_SERVICE: Final = 'stalls'
_CALLERS: Final = 6
_LOAD_SECONDS: Final = 3.0
_IN_FORCE_LIMIT: Final = 5.0
_FAILOVER_LIMIT: Final = 16.0
_REPLICA_SHARE: Final = 0.9
_POLL: Final = 0.01
_PERCENT: Final = 100


@dataclass(slots=True)
class DemoReport:
    """What the demonstration found; lines to print and failures."""

    lines: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    def tell(self, text: str, is_right: bool = True) -> None:
        """Add a line; a wrong one fails the demonstration."""
        mark = 'ok  ' if is_right else 'FAIL'
        self.lines.append(f'{mark} {text}')
        if not is_right:
            self.failures.append(text)


async def run_demo() -> DemoReport:
    """Run the demonstration in the present kernel."""
    account = DemoReport()
    deployment = Deployment(Layout())
    await deployment.start()
    await create_table(deployment, _SERVICE)
    load = Load(deployment, LoadProfile(), Random(1))
    await load.start(_CALLERS)
    await curio.sleep(_LOAD_SECONDS)
    await _show_configuration(deployment, account)
    await _show_failover(deployment, account)
    await curio.sleep(_LOAD_SECONDS)
    await load.finish()
    _show_history(deployment, load, account)
    await deployment.close()
    return account


async def _show_configuration(
    deployment: Deployment,
    account: DemoReport,
) -> None:
    text = deployment.describe().replace('max_age: 5', 'max_age: 4')
    applied_at = await curio.clock()
    await deployment.apply(text, number=2)
    for name, proxy in deployment.proxies.items():
        is_there = await _wait(_has_number(proxy, 2), _IN_FORCE_LIMIT)
        delay = proxy.view.active_since - applied_at
        account.tell(
            f'configuration {proxy.view.number} in force on {name} '
            f'after {delay:.3f} s',
            is_there,
        )


async def _show_failover(deployment: Deployment, account: DemoReport) -> None:
    primary = deployment.find_primary(_SERVICE)
    killed_at = await curio.clock()
    await primary.crash()
    client = await deployment.connect(min(deployment.proxies))
    while not await _is_writable(client):
        await curio.sleep(_POLL)
    gap = await curio.clock() - killed_at
    await client.close()
    account.tell(
        f'{primary.name} killed; writes accepted again after {gap:.3f} s',
        gap < _FAILOVER_LIMIT,
    )
    _show_phases(list_failover_reports(deployment), killed_at, account)
    await primary.start()


def _show_phases(
    reports: list[FailoverReport],
    killed_at: float,
    account: DemoReport,
) -> None:
    account.tell(f'failovers driven: {len(reports)}', len(reports) == 1)
    for report in reports:
        for phase, at in report.phases.items():
            passed = at - killed_at
            account.tell(f'  {phase}: {passed:+.3f} s from the kill')


async def _is_writable(client: Client) -> bool:
    answer = await client.run('CREATE TABLE IF NOT EXISTS first (id int)')
    return not answer.sqlstate


def _show_history(
    deployment: Deployment,
    load: Load,
    account: DemoReport,
) -> None:
    history = load.history
    broken = history.check_rows(read_rows(deployment, _SERVICE))
    account.tell(
        f'writes: {history.count(ReportedOutcome.DONE)} acknowledged, '
        f'{history.count(ReportedOutcome.NOT_RUN)} not run, '
        f'{history.count(ReportedOutcome.UNKNOWN)} unknown',
        history.count(ReportedOutcome.DONE) > 0,
    )
    account.tell(
        f'read-your-write checks across proxies: {history.checks} '
        f'in {history.reads} reads, {len(history.violations)} wrong',
        history.checks > 0 and not history.violations,
    )
    share = compute_replica_share(deployment)
    account.tell(
        f'reads served by replicas: {share * _PERCENT:.1f} %',
        share >= _REPLICA_SHARE,
    )
    lost = [each for each in broken if 'lost' in each]
    doubled = [each for each in broken if 'doubled' in each]
    account.tell(f'acknowledged writes lost: {len(lost)}', not lost)
    account.tell(f'writes doubled: {len(doubled)}', not doubled)
    for each in broken:
        account.tell(each, is_right=False)


def _has_number(proxy: Any, number: int) -> Callable[[], bool]:
    return lambda: proxy.view.number >= number


async def _wait(check: Callable[[], bool], timeout: float) -> bool:
    async with curio.ignore_after(timeout):
        while not check():
            await curio.sleep(_POLL)
    return check()
