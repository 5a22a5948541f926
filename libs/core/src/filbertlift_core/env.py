"""Environment variables, exit statuses, and protocol and platform limits."""

from typing import Final

# Prefix of the environment variables that hold settings.
PREFIX: Final = "FILBERTLIFT_"

# Exit statuses of the binaries.
EXIT_OK: Final = 0
EXIT_FAILURE: Final = 1
EXIT_DRAIN_CUT: Final = 3
EXIT_REJECTED: Final = 10
EXIT_CONFLICT: Final = 11
EXIT_UNKNOWN: Final = 12
EXIT_USAGE: Final = 64

# Version of the protocol between nodes, and the oldest supported version.
WIRE_VERSION: Final = 1
OLDEST_WIRE_VERSION: Final = 0

# The platform's store accepts values of up to one megabyte.
MAX_STORE_VALUE_BYTES: Final = 1_000_000

# Longest chain of nested calls; the target workload has chains of up to 15.
MAX_CALL_DEPTH: Final = 15
