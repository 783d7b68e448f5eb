"""How long a server takes to answer, as one node sees it."""

from typing import Final

#: Weights of the latest answer in the usual time and in its deviation, and
#: how many deviations late an answer may be: those of RFC 6298 for TCP.
_TIME_WEIGHT: Final = 1 / 8
_DEVIATION_WEIGHT: Final = 1 / 4
_DEVIATIONS: Final = 4
#: Least patience in seconds: statements of one server differ more than their
#: deviation tells while few of them have been seen.
MIN_ANSWER_TIMEOUT_S: Final = 0.05
#: Answers before patience is known.
_MIN_SAMPLES: Final = 5


class ResponseTimes:
    """The usual time of a server's answers, and what is late.

    Examples
    --------
    >>> times = ResponseTimes()
    >>> times.patience
    inf
    >>> for _ in range(50):
    ...     times.note(0.2)
    >>> round(times.patience, 2)
    0.2
    """

    def __init__(self) -> None:
        self._samples = 0
        self._usual: float = 0
        self._deviation: float = 0

    @property
    def usual(self) -> float:
        """Usual time of an answer, in seconds; 0 before the first."""
        return self._usual

    @property
    def patience(self) -> float:
        """Time in which nearly every answer comes, in seconds.

        It is infinite while too few answers have come to tell.
        """
        if self._samples < _MIN_SAMPLES:
            return float('inf')
        expected = self._usual + _DEVIATIONS * self._deviation
        return max(MIN_ANSWER_TIMEOUT_S, expected)

    def note(self, seconds: float) -> None:
        """Take over the time of one answer."""
        if self._samples:
            error = abs(seconds - self._usual)
            self._deviation += (error - self._deviation) * _DEVIATION_WEIGHT
            self._usual += (seconds - self._usual) * _TIME_WEIGHT
        else:
            self._usual = seconds
            self._deviation = seconds / 2
        self._samples += 1
