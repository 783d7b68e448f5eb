"""Reports of load, by which holders and servers are chosen.

The load: demand in waves out of phase and machines that differ six-fold.  Two
nodes of 58 ran a quarter of all statements, while holders of the same groups
were idle, because each node chose holders without knowing how long statements
wait there.

A holder reports with each answer how long a further statement would wait there.
Entry nodes choose the holder with the lowest expected delay.  A report is never
more than a preference: an invalid, stale or missing one counts as no wait, so
the choice is then that of an even fleet.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Any, Final

import msgspec

#: Waits below this are not reported: they are shorter than the round trip to
#: another data centre, so they would not change the choice.
MIN_REPORTED_WAIT_MS: Final = 1.0
#: Longest wait in a report.  No statement waits longer; a larger value is
#: invalid.
MAX_REPORTED_WAIT_MS: Final = 60_000.0
#: Half-life of the weight of a report: a queue changes within the objective of
#: the usual class, 0.2 to 0.3 s.
REPORT_HALF_LIFE_S: Final = 0.25
#: Age from which a report has no weight.
REPORT_LIFETIME_S: Final = 1.0
#: Age up to which a report of free capacity justifies a second attempt.  The
#: report has a quarter of its weight then.
FRESH_REPORT_AGE_S: Final = 0.5
#: Time to open a connection of a workspace at another than its first holder.
CONNECT_TIME_S: Final = 0.012
#: Round trip to another data centre.
REMOTE_ROUND_TRIP_S: Final = 0.0018
#: Part of the objective within which a rejection counts as immediate.
IMMEDIATE_REJECTION_FRACTION: Final = 0.2
#: Age from which a report about a server is ignored; more than the 1.6 s for
#: which a server is avoided at most after a failure.
SERVER_REPORT_LIFETIME_S: Final = 2.0
#: Bounds of valid values in a report about a server.
MAX_REPORTED_STATEMENTS: Final = 1000
MAX_REPORTED_TIME_S: Final = 60.0
_MS_PER_S: Final = 1000
_WaitMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_REPORTED_WAIT_MS)]


@dataclass(frozen=True, slots=True)
class HolderWaits:
    """Expected waits of a statement at a holder, in seconds.

    Attributes
    ----------
    primary : float
        Wait for a connection to the primary.
    replica : float
        Wait for a connection to the best replica.
    """

    primary: float = 0
    replica: float = 0


_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_REPORTED_STATEMENTS)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_REPORTED_TIME_S)]


class ServerReport(msgspec.Struct, array_like=True, frozen=True):
    """Load of a server as one holder sees it, as sent in a `LoadAnswer`.

    Attributes
    ----------
    server : str
        Id of the server.
    in_flight, waiting : int
        Connections of the holder in use, and statements that wait for one.
    mean_time : float
        Mean time of a recent statement in seconds; 0 if there was none.
    is_avoided : bool
        Whether the holder avoids the server after a failure.
    age : float
        Age of the report, or time since that failure, in seconds.
    """

    server: str
    in_flight: _Count
    waiting: _Count
    mean_time: _Seconds
    is_avoided: bool
    age: _Seconds


def estimate_wait(
    waiting: int,
    held: int,
    connections: int,
    hold_time: float,
) -> float:
    """Return how long a further statement waits for a connection, in seconds.

    Parameters
    ----------
    waiting, held, connections : int
        Waiting statements, connections in use, and all connections.
    hold_time : float
        Time for which a statement uses a connection, in seconds.

    Examples
    --------
    >>> estimate_wait(waiting=0, held=3, connections=4, hold_time=0.02)
    0
    >>> estimate_wait(waiting=7, held=4, connections=4, hold_time=0.02)
    0.04
    """
    if held < connections and not waiting:
        return 0
    return (waiting + 1) * hold_time / max(1, connections)


def encode_waits(waits: HolderWaits) -> tuple[float, ...]:
    """Return the waits as sent, in milliseconds; empty if both are short.

    Examples
    --------
    >>> encode_waits(HolderWaits(primary=0.0504, replica=0))
    (50.4, 0)
    >>> encode_waits(HolderWaits(primary=0.0004, replica=0))
    ()
    """
    milliseconds = tuple(
        round(min(wait * _MS_PER_S, MAX_REPORTED_WAIT_MS), 1)
        for wait in (waits.primary, waits.replica)
    )
    if max(milliseconds) < MIN_REPORTED_WAIT_MS:
        return ()
    return milliseconds


def decode_waits(load: Sequence[Any]) -> HolderWaits | None:
    """Return the waits in a report; None if a value is invalid.

    Examples
    --------
    >>> decode_waits([50.0, 0.0])
    HolderWaits(primary=0.05, replica=0.0)
    >>> decode_waits([])
    HolderWaits(primary=0, replica=0)
    >>> decode_waits([float('nan'), 0.0])
    """
    if not load:
        return HolderWaits()
    try:
        primary, replica = msgspec.convert(load, tuple[_WaitMs, _WaitMs])
    except msgspec.ValidationError:
        return None
    return HolderWaits(primary / _MS_PER_S, replica / _MS_PER_S)


def decode_server_report(report: Sequence[Any]) -> ServerReport | None:
    """Return a report about a server; None if a value is invalid.

    Examples
    --------
    >>> decode_server_report(['i-1', 3, 0, 0.02, False, 0]).in_flight
    3
    >>> decode_server_report(['i-1', -3, 0, 0.02, False, 0])
    """
    try:
        return msgspec.convert(report, ServerReport)
    except msgspec.ValidationError:
        return None


def compute_weight(age: float) -> float:
    """Return the weight of a report of an age in seconds, from 1 to 0.

    Examples
    --------
    >>> [compute_weight(age) for age in (0, 0.25, 0.5, 1)]
    [1.0, 0.5, 0.25, 0]
    """
    if age >= REPORT_LIFETIME_S:
        return 0
    return math.exp2(-max(0, age) / REPORT_HALF_LIFE_S)


def estimate_delay(
    wait: float,
    age: float,
    *,
    has_connection: bool,
    is_remote: bool,
) -> float:
    """Return the expected delay of a statement at a holder, in seconds.

    Parameters
    ----------
    wait : float
        Wait that the holder has reported, in seconds.
    age : float
        Age of the report, in seconds.
    has_connection : bool
        Whether a connection of the workspace is expected to be open there.
    is_remote : bool
        Whether the holder is in another data centre.

    Examples
    --------
    >>> estimate_delay(0.08, 0.25, has_connection=True, is_remote=False)
    0.04
    >>> estimate_delay(0, 0, has_connection=False, is_remote=True)
    0.0138
    """
    delay = wait * compute_weight(age)
    if not has_connection:
        delay += CONNECT_TIME_S
    return delay + REMOTE_ROUND_TRIP_S if is_remote else delay
