"""Arguments of the commands of ``deckdrumctl``."""

import argparse
import getpass
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Final

from deckdrum.utils import Address

#: Kinds of files that `validate` accepts.
CHECKED_KINDS: Final = ('configuration', 'document', 'platform', 'settings')


def add_arguments(command: argparse.ArgumentParser, name: str) -> None:
    """Add the arguments of the command `name` to its parser."""
    for add in _ARGUMENT_ADDERS.get(name, ()):
        add(command)


def _add_file(command: argparse.ArgumentParser) -> None:
    command.add_argument('file', type=Path, help='path of the file')


def _add_kind(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--kind',
        choices=CHECKED_KINDS,
        default='document',
        help="the operators' configuration on the users' platform, a "
        "configuration document, a proxy's settings or the settings that "
        "the users' platform gives a node",
    )


def _add_platform(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--platform',
        type=Address.parse,
        required=True,
        help='host:port of the object API',
    )


def _add_proxies(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--admin',
        type=Address.parse,
        required=True,
        nargs='+',
        help='host:port of the admin ports of proxies',
    )


def _add_explain_target(command: argparse.ArgumentParser) -> None:
    command.add_argument('service', nargs='?', help='name of the service')
    command.add_argument(
        '--admin',
        type=Address.parse,
        nargs='+',
        help='host:port of the admin ports of proxies',
    )
    command.add_argument('--request', help='id of a request in the logs')


def _add_logs(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--logs',
        type=Path,
        nargs='+',
        help='log files of nodes; standard input by default',
    )


def _add_json(command: argparse.ArgumentParser) -> None:
    command.add_argument('--json', action='store_true')


def _add_change_metadata(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--base',
        type=int,
        help='number of the configuration on which the change is based',
    )
    command.add_argument('--author', default=getpass.getuser())
    command.add_argument(
        '--operation',
        help='id of an earlier attempt whose outcome is unknown',
    )


_ArgumentAdders = tuple[Callable[[argparse.ArgumentParser], None], ...]
_ARGUMENT_ADDERS: Final[Mapping[str, _ArgumentAdders]] = MappingProxyType(
    {
        'validate': (_add_file, _add_kind),
        'diff': (_add_file, _add_platform),
        'apply': (_add_file, _add_platform, _add_change_metadata),
        'status': (_add_proxies, _add_json),
        'explain': (_add_explain_target, _add_logs, _add_json),
        'report': (_add_logs, _add_json),
        'drain': (_add_proxies,),
    },
)
