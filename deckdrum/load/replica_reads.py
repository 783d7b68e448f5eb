"""Reads that may wait for a replica, and the bound on reads at the primary.

The load: on bad days replicas lag by 0.4 to 1.2 s, so reads of own changes go
to the primary of their group, and reads that may be 1.5 or 2.5 s old are queued
there ahead of urgent statements.  One primary of four got 303 of 334
rejections.

A read waits for a replica that is expected to catch up while the read can still
be in time.  While more urgent statements wait for the primary, less urgent
reads that a replica could run use at most half of a node's connections to it.
"""

from typing import Final

#: Factor from the lag that a replica has shown to the expected one.  A replica
#: that lacks a position shows only a lower bound of its lag, so a lower factor
#: would need many attempts until it has caught up.
LAG_GROWTH_FACTOR: Final = 2
#: Shortest expected lag, of half the usual one of 12 ms.
MIN_EXPECTED_LAG_S: Final = 0.005
#: Time after which an estimate is dropped, so that the replica is tried anew.
ESTIMATE_LIFETIME_S: Final = 2.0
#: Fraction of the connections to the primary for less urgent reads while more
#: urgent statements wait.  The other half is served to these first; with less
#: for reads, background work would not complete within its limit of 1.5 s.
PRIMARY_READS_FRACTION: Final = 0.5


def raise_lag(expected: float, lacked_for: float) -> float:
    """Return the expected lag after a replica was found to lack a position.

    Parameters
    ----------
    expected : float
        Expected lag so far, in seconds; 0 if unknown.
    lacked_for : float
        Time since the primary had the position, in seconds.

    Examples
    --------
    >>> raise_lag(0, lacked_for=0.1)
    0.2
    >>> raise_lag(1.5, lacked_for=0.1)
    1.5
    """
    shown = max(0, lacked_for) * LAG_GROWTH_FACTOR
    return max(expected, shown, MIN_EXPECTED_LAG_S)


def plan_replica_wait(
    created_at: float,
    expected_lag: float,
    statement_time: float,
    now: float,
    deadline: float,
) -> float | None:
    """Return how long a read waits for a replica; None if it does not.

    Parameters
    ----------
    created_at : float
        When the primary had the position that the read needs.
    expected_lag, statement_time : float
        Expected lag of the replica, and time of a statement there, in seconds.
    now, deadline : float
        Current time, and the time by which the answer must arrive.

    Examples
    --------
    >>> plan_replica_wait(5, 0.25, 0.01, now=5.125, deadline=5.5)
    0.125
    >>> plan_replica_wait(5, 0.25, 0.01, now=5.5, deadline=6)
    0
    >>> plan_replica_wait(5, 0.75, 0.01, now=5.125, deadline=5.5)
    """
    ready_at = max(now, created_at + expected_lag)
    if ready_at + statement_time > deadline:
        return None
    return ready_at - now if ready_at > now else 0


def count_primary_reads(connections: int) -> int:
    """Return how many less urgent reads may use the primary at a time.

    Examples
    --------
    >>> [count_primary_reads(connections) for connections in (1, 2, 5, 8)]
    [1, 1, 2, 4]
    """
    return max(1, int(connections * PRIMARY_READS_FRACTION))


def plan_primary_wait(
    reads: int,
    queued: int,
    connections: int,
    statement_time: float,
    time_left: float,
) -> float | None:
    """Return the expected wait of a read beyond the bound at the primary.

    Parameters
    ----------
    reads : int
        Less urgent reads that use the primary or wait for a connection to it.
    queued : int
        Reads that wait until these are below the bound.
    connections : int
        Connections of this node to the primary.
    statement_time, time_left : float
        Time of a statement there and time left to the objective, in seconds.

    Returns
    -------
    float or None
        0 if the read is within the bound; None if it cannot be in time.

    Examples
    --------
    >>> plan_primary_wait(3, 0, 8, statement_time=0.02, time_left=0.2)
    0
    >>> plan_primary_wait(4, 3, 8, statement_time=0.02, time_left=0.2)
    0.02
    >>> plan_primary_wait(4, 40, 8, statement_time=0.02, time_left=0.2)
    """
    bound = count_primary_reads(connections)
    ahead = reads + queued - bound + 1
    if ahead <= 0:
        return 0
    wait = ahead * statement_time / bound
    return None if wait + statement_time > time_left else wait
