"""``deckdrum-standin``: simulated platform and databases for tests."""

import sys
from collections.abc import Sequence

import curio

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.commands.parsing import EXIT_OK, make_parser
from deckdrum.commands.signals import catch_signals, stop_at_signal
from deckdrum.utils import open_journal

_DESCRIPTION = """\
TEST STAND-INS, not for real use: an object API and replicated databases with
the sizes of the stall bookings of Bratislava, on fixed loopback ports.

  fleet    stand-ins and three proxies, until interrupted
  backends stand-ins only; start deckdrum-proxy yourself"""
#: The ports are listed in the README.
FIRST_PORT = 6400


async def run_deployment(proxies: int) -> None:
    """Run a deployment until a signal is received."""
    layout = Layout(first_port=FIRST_PORT, proxies=proxies)
    deployment = Deployment(layout, journal=open_journal('standin'))
    await deployment.start()
    sys.stdout.write(describe_ports(deployment))
    sys.stdout.flush()
    stopped = curio.Event()
    with catch_signals() as signals:
        await curio.spawn(stop_at_signal, signals, stopped.set, daemon=True)
        await stopped.wait()
    await deployment.close()


def describe_ports(deployment: Deployment) -> str:
    """Return a table of the addresses."""
    lines = ['TEST STAND-INS; user growers-app, password standin']
    lines.append(f'platform     {deployment.platform.address}')
    for proxy in deployment.proxies.values():
        lines.append(
            f'proxy {proxy.name:6} {proxy.address}'
            f'  admin {proxy.admin.address}',
        )
    for database in deployment.databases.values():
        lines.append(f'database {database.name:10} {database.address}')
    return '\n'.join((*lines, ''))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = make_parser('deckdrum-standin', _DESCRIPTION)
    parser.add_argument('what', choices=('fleet', 'backends'))
    parser.add_argument(
        '--proxies',
        type=int,
        default=3,
        help='number of proxies of the fleet (default 3)',
    )
    options = parser.parse_args(arguments)
    proxies = options.proxies if options.what == 'fleet' else 0
    curio.run(run_deployment, proxies)
    return EXIT_OK
