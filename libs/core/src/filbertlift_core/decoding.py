"""Ranges and errors of values that are decoded from bytes of others.

Another writer of the store, a target or a peer of another build may send
anything. A value within these ranges can be stored, compared, encoded and sent
on by every node.
"""

from typing import Annotated
from typing import Final

import msgspec

from filbertlift_core import model

# Largest number that every JSON decoder reads exactly.
MAX_COUNT: Final = 2**53 - 1
# Largest Unix time of a start, in milliseconds. It leaves room below the limit
# of a count for a host that raises its incarnation.
MAX_STAMP_MS: Final = 2**48 - 1
# Versions have eight hexadecimal digits.
MAX_VERSION: Final = 2**32 - 1
# Longest duration, in milliseconds; the event loop has no longer timers.
MAX_TIME_MS: Final = 2**31 - 1
# A slot takes a connection, and one host can open no more to one address.
MAX_SLOTS: Final = model.MAX_PORT
# Length of the longest key of the store, in bytes.
MAX_NAME_LENGTH: Final = 200

# What a decoder may raise besides the errors of its library: for malformed
# input, for numbers beyond 64 bits and for deep nesting.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Stamp = Annotated[int, msgspec.Meta(ge=0, le=MAX_STAMP_MS)]
# A node without a configuration has the version -1.
Version = Annotated[int, msgspec.Meta(ge=-1, le=MAX_VERSION)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=model.MAX_PORT)]
IpNumber = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
# A duration may be negative once a deadline has passed.
Milliseconds = Annotated[int, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]
