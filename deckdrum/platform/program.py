"""Entry point of a node: ``python3 -m deckdrum.platform.program``.

SIGHUP is ignored until its handler is installed, since it would terminate the
process during the imports.  No reload is lost: the settings are read later.
"""

import gc
import signal
import sys
from importlib import import_module

from deckdrum.deferral import UNUSED_BY_NODES, defer_imports


def main() -> int:
    """Run a node and return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    defer_imports(UNUSED_BY_NODES)
    # Imports create few garbage objects, so collection only slows them down.
    gc.disable()
    service = import_module('deckdrum.platform.service')
    gc.freeze()
    gc.enable()
    code: int = service.main()
    return code


if __name__ == '__main__':
    sys.exit(main())
