"""End-to-end demo of a deployment with embedded stand-ins."""

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
_CALLER_COUNT: Final = 6
_LOAD_DURATION_S: Final = 3.0
_ACTIVATION_TIMEOUT_S: Final = 5.0
_MAX_FAILOVER_S: Final = 16.0
_MIN_REPLICA_FRACTION: Final = 0.9
_POLL_INTERVAL_S: Final = 0.01
_PERCENT: Final = 100


@dataclass(slots=True)
class DemoReport:
    """Result of the demo: lines to print and failed checks."""

    lines: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    def add_line(self, text: str, passed: bool = True) -> None:
        """Add a line; the demo fails if `passed` is false."""
        status = 'ok  ' if passed else 'FAIL'
        self.lines.append(f'{status} {text}')
        if not passed:
            self.failures.append(text)


async def run_demo() -> DemoReport:
    """Run the demo in the current curio kernel."""
    report = DemoReport()
    deployment = Deployment(Layout())
    await deployment.start()
    await create_table(deployment, _SERVICE)
    load = Load(deployment, LoadProfile(), Random(1))
    await load.start(_CALLER_COUNT)
    await curio.sleep(_LOAD_DURATION_S)
    await _check_configuration_change(deployment, report)
    await _check_failover(deployment, report)
    await curio.sleep(_LOAD_DURATION_S)
    await load.finish()
    _check_history(deployment, load, report)
    await deployment.close()
    return report


async def _check_configuration_change(
    deployment: Deployment,
    report: DemoReport,
) -> None:
    text = deployment.describe().replace('max_age: 5', 'max_age: 4')
    applied_at = await curio.clock()
    await deployment.apply(text, number=2)
    for name, proxy in deployment.proxies.items():
        is_active = await _wait_for(
            _has_configuration(proxy, 2), _ACTIVATION_TIMEOUT_S
        )
        delay = proxy.view.active_since - applied_at
        report.add_line(
            f'configuration {proxy.view.number} active on {name} '
            f'after {delay:.3f} s',
            is_active,
        )


async def _check_failover(deployment: Deployment, report: DemoReport) -> None:
    primary = deployment.find_primary(_SERVICE)
    killed_at = await curio.clock()
    await primary.crash()
    client = await deployment.connect(min(deployment.proxies))
    while not await _is_writable(client):
        await curio.sleep(_POLL_INTERVAL_S)
    write_gap = await curio.clock() - killed_at
    await client.close()
    report.add_line(
        f'{primary.name} killed; writes accepted again after {write_gap:.3f} s',
        write_gap < _MAX_FAILOVER_S,
    )
    _report_phases(list_failover_reports(deployment), killed_at, report)
    await primary.start()


def _report_phases(
    reports: list[FailoverReport],
    killed_at: float,
    report: DemoReport,
) -> None:
    report.add_line(f'failovers: {len(reports)}', len(reports) == 1)
    for failover in reports:
        for phase, at in failover.phases.items():
            elapsed = at - killed_at
            report.add_line(f'  {phase}: {elapsed:+.3f} s relative to the kill')


async def _is_writable(client: Client) -> bool:
    answer = await client.run('CREATE TABLE IF NOT EXISTS first (id int)')
    return not answer.sqlstate


def _check_history(
    deployment: Deployment,
    load: Load,
    report: DemoReport,
) -> None:
    history = load.history
    violated = history.check_rows(read_rows(deployment, _SERVICE))
    report.add_line(
        f'writes: {history.count(ReportedOutcome.DONE)} acknowledged, '
        f'{history.count(ReportedOutcome.NOT_RUN)} not run, '
        f'{history.count(ReportedOutcome.UNKNOWN)} unknown',
        history.count(ReportedOutcome.DONE) > 0,
    )
    report.add_line(
        f'read-your-writes checks across proxies: {history.checks} '
        f'in {history.reads} reads, {len(history.violations)} violations',
        history.checks > 0 and not history.violations,
    )
    share = compute_replica_share(deployment)
    report.add_line(
        f'reads served by replicas: {share * _PERCENT:.1f} %',
        share >= _MIN_REPLICA_FRACTION,
    )
    lost = [each for each in violated if 'lost' in each]
    doubled = [each for each in violated if 'doubled' in each]
    report.add_line(f'acknowledged writes lost: {len(lost)}', not lost)
    report.add_line(f'writes doubled: {len(doubled)}', not doubled)
    for each in violated:
        report.add_line(each, passed=False)


def _has_configuration(proxy: Any, number: int) -> Callable[[], bool]:
    return lambda: proxy.view.number >= number


async def _wait_for(check: Callable[[], bool], timeout: float) -> bool:
    async with curio.ignore_after(timeout):
        while not check():
            await curio.sleep(_POLL_INTERVAL_S)
    return check()
