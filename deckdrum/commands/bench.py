"""``deckdrum-bench``: the demonstration and experiments, on stand-ins."""

import sys
from collections.abc import Sequence

import curio

from deckdrum.bench.demo import run_demo
from deckdrum.bench.relay import measure_relay
from deckdrum.commands.parsing import EXIT_FAILED, EXIT_OK, make_parser
from deckdrum.utils.virtualtime import run_virtual

_DESCRIPTION = """\
Runs proxies and stand-ins in one process.

  demo   the whole path with figures; fails if any promise is broken
  relay  cost of the relay in wall-clock time, as ratios in one run"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = make_parser('deckdrum-bench', _DESCRIPTION)
    commands = parser.add_subparsers(dest='command', required=True)
    demo = commands.add_parser('demo', help='the whole path with figures')
    demo.add_argument(
        '--virtual',
        action='store_true',
        help='in virtual time: the same figures on every run',
    )
    commands.add_parser('relay', help='cost of the relay')
    options = parser.parse_args(arguments)
    if options.command == 'relay':
        for name, figure in curio.run(measure_relay).items():
            sys.stdout.write(f'{name}: {figure:.2f}\n')
        return EXIT_OK
    run = run_virtual if options.virtual else curio.run
    account = run(run_demo)
    sys.stdout.write('\n'.join((*account.lines, '')))
    return EXIT_FAILED if account.failures else EXIT_OK
