"""Estimation of a server's response time."""

from typing import Final

#: Smoothing factors of the mean and of its deviation, and the number of
#: deviations added to the mean for the timeout, as in RFC 6298 for TCP.
_TIME_WEIGHT: Final = 1 / 8
_DEVIATION_WEIGHT: Final = 1 / 4
_DEVIATIONS: Final = 4
#: Lower bound for the timeout: the deviation of a few samples underestimates
#: the differences between statements.
MIN_ANSWER_TIMEOUT_S: Final = 0.05
#: Samples required before a timeout is estimated.
_MIN_SAMPLES: Final = 5


class ResponseTimes:
    """Mean response time of a server and the timeout derived from it.

    Examples
    --------
    >>> times = ResponseTimes()
    >>> times.timeout
    inf
    >>> for _ in range(50):
    ...     times.record(0.2)
    >>> round(times.timeout, 2)
    0.2
    """

    def __init__(self) -> None:
        self._samples = 0
        self._mean: float = 0
        self._deviation: float = 0

    @property
    def mean(self) -> float:
        """Smoothed response time in seconds; 0 before the first sample."""
        return self._mean

    @property
    def timeout(self) -> float:
        """Time within which nearly every answer arrives, in seconds.

        It is infinite until `_MIN_SAMPLES` samples were recorded.
        """
        if self._samples < _MIN_SAMPLES:
            return float('inf')
        expected = self._mean + _DEVIATIONS * self._deviation
        return max(MIN_ANSWER_TIMEOUT_S, expected)

    def record(self, seconds: float) -> None:
        """Record one response time."""
        if self._samples:
            error = abs(seconds - self._mean)
            self._deviation += (error - self._deviation) * _DEVIATION_WEIGHT
            self._mean += (seconds - self._mean) * _TIME_WEIGHT
        else:
            self._mean = seconds
            self._deviation = seconds / 2
        self._samples += 1
