"""Constants of the environment: names, limits and exit statuses."""

from typing import Final

# Prefix of every environment variable that holds a setting.
PREFIX: Final = "FILBERTLIFT_"

# Exit statuses of the binaries.
EXIT_OK: Final = 0
EXIT_FAILURE: Final = 1
EXIT_DRAIN_CUT: Final = 3
EXIT_REJECTED: Final = 10
EXIT_CONFLICT: Final = 11
EXIT_UNKNOWN: Final = 12
EXIT_USAGE: Final = 64

# Version of the protocol between nodes, and the oldest one understood.
WIRE_VERSION: Final = 1
OLDEST_WIRE_VERSION: Final = 0

# The platform's store holds values up to one megabyte.
MAX_STORE_VALUE_BYTES: Final = 1_000_000

# Depth of a chain of calls; the target workload is up to 15 deep.
MAX_CALL_DEPTH: Final = 15
