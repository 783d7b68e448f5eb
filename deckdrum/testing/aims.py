"""What users ask of the product, as tests check it; none of it is measured."""

from typing import Final

#: Longest time until a group takes changes again, in seconds: of the slowest
#: of a hundred changes of primary, and of every change.
WRITE_GAP_P99_S: Final = 4.0
WRITE_GAP_MAX_S: Final = 16.0
#: For how long a server that leaves serves on, in seconds.
DRAIN_TIME_S: Final = 7.0
#: Time after a disruption in which all is well again, in seconds.
MAX_RECOVERY_TIME_S: Final = 4.0
