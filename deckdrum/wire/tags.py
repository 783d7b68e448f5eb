"""Tag bytes of the messages that the proxy handles.

The meaning of some tags depends on whether a caller or a database sends them.
"""

from typing import Final

AUTHENTICATION: Final = b'R'
BACKEND_KEY: Final = b'K'
BIND: Final = b'B'
BIND_COMPLETE: Final = b'2'
CLOSE: Final = b'C'
CLOSE_COMPLETE: Final = b'3'
COMMAND_COMPLETE: Final = b'C'
COPY_BOTH: Final = b'W'
COPY_IN: Final = b'G'
COPY_OUT: Final = b'H'
DATA_ROW: Final = b'D'
DESCRIBE: Final = b'D'
EMPTY_QUERY: Final = b'I'
ERROR: Final = b'E'
EXECUTE: Final = b'E'
FLUSH: Final = b'H'
NOTIFICATION: Final = b'A'
PARAMETER: Final = b'S'
PARSE: Final = b'P'
PARSE_COMPLETE: Final = b'1'
PORTAL_SUSPENDED: Final = b's'
QUERY: Final = b'Q'
READY: Final = b'Z'
SYNC: Final = b'S'
TERMINATE: Final = b'X'
