"""Exit codes and options that all programs share."""

import argparse
from typing import Final

from deckdrum import __version__

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNKNOWN: Final = 4

_EXIT_TEXT: Final = """\
exit codes:
  0  done
  1  failed; the message states the reason
  2  usage error or invalid file
  3  conflict: the configuration was changed by somebody else meanwhile
  4  unknown: the platform did not answer; retrying is safe
"""


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with ``--help``, ``--version`` and the exit codes.

    Examples
    --------
    >>> make_parser('deckdrum-proxy', 'Runs one proxy.').prog
    'deckdrum-proxy'
    """
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=_EXIT_TEXT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'{program} {__version__}',
    )
    return parser
