"""A node whose links to single addresses a test can block.

Runs `deckdrum.platform.program` with connections that obey the file named by
``DECKDRUM_BLOCKED_LINKS`` (`deckdrum.testing.blocked_links`).
"""

import os
import signal
import sys
from functools import partial
from importlib import import_module
from pathlib import Path

from deckdrum import utils
from deckdrum.testing.blocked_links import (
    BLOCKED_LINKS_VARIABLE,
    BlockedLinkFile,
    dial_unless_blocked,
)


def main() -> int:
    """Run a node and return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    links = BlockedLinkFile(Path(os.environ[BLOCKED_LINKS_VARIABLE]))
    # Before any module of the node imports the function.
    utils.dial = utils.streams.dial = partial(dial_unless_blocked, links)
    program = import_module('deckdrum.platform.program')
    code: int = program.main()
    return code


if __name__ == '__main__':
    sys.exit(main())
