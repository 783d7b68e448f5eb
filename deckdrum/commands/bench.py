"""``deckdrum-bench``: demonstration and experiments on stand-ins."""

import argparse
import json
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict
from pathlib import Path
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.bench import runner
from deckdrum.bench.demo import run_demo
from deckdrum.bench.relay import measure_relay
from deckdrum.bench.slopes import format_slopes, measure_all
from deckdrum.commands.parsing import EXIT_FAILED, EXIT_OK, make_parser
from deckdrum.soak import SoakPlan, SoakReport, run_soak
from deckdrum.utils.virtualtime import run_virtual

#: Added to the signal number in the exit code, as shells do.
_SIGNAL_EXIT_BASE: Final = 128
_DESCRIPTION = """\
Runs proxies and stand-ins in one process.

  demo   end-to-end demonstration; fails if an invariant is violated
  list   names of the experiments
  run    one experiment in virtual time
  all    every experiment, compared with the committed baseline
  relay  relay overhead in wall-clock time, as ratios within one run
  slopes slopes of docs/CAPACITY.md, measured on proxy processes
  soak   node processes under random faults; fails on violated invariants"""


def print_lines(*lines: str) -> None:
    """Write lines to standard output."""
    for line in lines:
        sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def demo(options: argparse.Namespace) -> int:
    """Run the end-to-end demonstration."""
    run = run_virtual if options.virtual else curio.run
    report = run(run_demo)
    print_lines(*report.lines)
    return EXIT_FAILED if report.failures else EXIT_OK


def relay(options: argparse.Namespace) -> int:
    """Measure the relay overhead."""
    for name, figure in curio.run(measure_relay).items():
        print_lines(f'{name}: {figure:.2f}')
    return EXIT_OK


def slopes(options: argparse.Namespace) -> int:
    """Measure the slopes of the capacity page."""
    measurements = measure_all()
    print_lines(format_slopes(measurements))
    options.output.parent.mkdir(parents=True, exist_ok=True)
    encoded = [asdict(each) for each in measurements]
    options.output.write_text(json.dumps(encoded, indent=1))
    return EXIT_OK


def soak(options: argparse.Namespace) -> int:
    """Run node processes under random faults."""
    has_failed = False
    # Raises SystemExit, so that the node processes are terminated too.
    signal.signal(signal.SIGTERM, _exit_on_signal)
    for seed in range(options.first, options.first + options.seeds):
        folder = options.output / f'soak-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        plan = SoakPlan(
            seed,
            options.seconds,
            options.nodes,
            options.callers,
            has_urgent_routes=options.urgent,
            synchronous_replicas=0 if options.asynchronous else 1,
            has_membership_faults=options.membership,
        )
        report = curio.run(run_soak, plan, folder)
        print_lines(*_describe_soak(seed, report))
        has_failed = has_failed or bool(report.violations)
    return EXIT_FAILED if has_failed else EXIT_OK


def _describe_soak(seed: int, report: SoakReport) -> list[str]:
    outcome_counts = ', '.join(
        f'{count} {fate}'
        for fate, count in sorted(report.outcome_counts.items())
    )
    broken = [f'  BROKEN {each}' for each in report.violations]
    return [
        f'seed {seed}: {len(report.faults)} faults; {outcome_counts}',
        *broken,
    ]


def _exit_on_signal(number: int, frame: object) -> None:
    """Exit with the conventional code of the signal."""
    sys.exit(_SIGNAL_EXIT_BASE + number)


def list_names(options: argparse.Namespace) -> int:
    """List the experiments."""
    for name, experiment in runner.EXPERIMENTS.items():
        print_lines(f'{name:20} {experiment.summary}')
    return EXIT_OK


def run_one(options: argparse.Namespace) -> int:
    """Run one experiment."""
    figures = runner.run_experiment(options.name, options.seed)
    if options.json:
        print_lines(json.dumps(runner.encode(figures), indent=1))
    else:
        print_lines(*runner.describe(options.name, figures))
    is_met = all(each.is_met for each in figures)
    return EXIT_OK if is_met else EXIT_FAILED


def run_all(options: argparse.Namespace) -> int:
    """Run every experiment and compare the figures with the baseline."""
    baseline = runner.read_baseline()
    figures_by_name = {}
    failures = []
    for name in runner.EXPERIMENTS:
        figures = runner.run_experiment(name, options.seed)
        figures_by_name[name] = figures
        print_lines(*runner.describe(name, figures))
        regressions = runner.find_regressions(figures, baseline.get(name, {}))
        print_lines(*(f'  WORSE {each}' for each in regressions))
        failures.extend(regressions)
        failures.extend(each.name for each in figures if not each.is_met)
    runner.write_report(figures_by_name, options.output)
    if options.rebase:
        runner.write_baseline(figures_by_name)
    return EXIT_FAILED if failures else EXIT_OK


_Command = Callable[[argparse.Namespace], int]
_COMMANDS: Final[Mapping[str, _Command]] = MappingProxyType(
    {
        'demo': demo,
        'list': list_names,
        'run': run_one,
        'all': run_all,
        'relay': relay,
        'slopes': slopes,
        'soak': soak,
    }
)


def build_parser() -> argparse.ArgumentParser:
    """Return the command line of ``deckdrum-bench``."""
    parser = make_parser('deckdrum-bench', _DESCRIPTION)
    commands = parser.add_subparsers(dest='command', required=True)
    parsers = {
        name: commands.add_parser(name, help=(command.__doc__ or '').strip())
        for name, command in _COMMANDS.items()
    }
    parsers['demo'].add_argument(
        '--virtual',
        action='store_true',
        help='run in virtual time, with the same figures on every run',
    )
    parsers['run'].add_argument('name', choices=list(runner.EXPERIMENTS))
    parsers['run'].add_argument('--json', action='store_true')
    for name in ('run', 'all'):
        parsers[name].add_argument('--seed', type=int, default=1)
    parsers['all'].add_argument(
        '--output',
        type=Path,
        default=Path('build/bench.json'),
    )
    parsers['slopes'].add_argument(
        '--output',
        type=Path,
        default=Path('build/slopes.json'),
    )
    _add_soak_options(parsers['soak'])
    parsers['all'].add_argument(
        '--rebase',
        action='store_true',
        help='write the figures as the new baseline',
    )
    return parser


def _add_soak_options(parser: argparse.ArgumentParser) -> None:
    plan = SoakPlan(seed=1)
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--seconds', type=float, default=plan.seconds)
    parser.add_argument('--nodes', type=int, default=plan.nodes)
    parser.add_argument('--callers', type=int, default=plan.callers)
    parser.add_argument(
        '--urgent',
        action='store_true',
        help='routes of priority 0 to 2, and machines of uneven capacity',
    )
    parser.add_argument(
        '--asynchronous',
        action='store_true',
        help='acknowledge changes before any replica has received them',
    )
    parser.add_argument(
        '--membership',
        action='store_true',
        help='nodes join and restart without the store, a server is lost',
    )
    parser.add_argument(
        '--output',
        type=Path,
        default=Path('build'),
        help='directory for the logs of the nodes',
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    options = build_parser().parse_args(arguments)
    return _COMMANDS[options.command](options)
