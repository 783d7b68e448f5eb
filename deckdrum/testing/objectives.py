"""Service level objectives that tests check."""

from typing import Final

#: Time without writes during a primary change: 99th percentile and maximum.
WRITE_GAP_P99_S: Final = 4.0
WRITE_GAP_MAX_S: Final = 16.0
#: Time for which a draining server continues to serve.
DRAIN_TIME_S: Final = 7.0
#: Time after the end of a fault until all requests succeed again.
MAX_RECOVERY_TIME_S: Final = 4.0
