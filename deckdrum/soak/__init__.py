"""Randomised soak test: real node processes under injected faults.

Nodes run as separate processes in real time; databases, store and callers run
in the process of the soak test.  Faults are signals, loopback links that delay
or drop traffic, and stand-ins that reject requests, lag or crash.  Afterwards
the answers that callers received are checked against the statements that the
databases executed (`checks`).
"""

from deckdrum.soak.runner import SoakPlan, SoakReport, run_soak

__all__ = ['SoakPlan', 'SoakReport', 'run_soak']
