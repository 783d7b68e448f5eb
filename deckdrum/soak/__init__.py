"""A randomised soak: real node processes, faults from outside, promises kept.

The nodes run as processes of their own, in real time; databases, store and
callers are in the process of the soak.  Faults come from signals, from
loopback links that delay, cut or silence, and from stand-ins that refuse, lag
or die.  What callers were told and what the databases ran is compared
afterwards (`promises`).
"""

from deckdrum.soak.runner import SoakPlan, SoakReport, run_soak

__all__ = ['SoakPlan', 'SoakReport', 'run_soak']
