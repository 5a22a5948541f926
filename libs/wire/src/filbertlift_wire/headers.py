"""HTTP headers in calls and answers."""

from typing import Annotated

import attrs
import msgspec

# Texts that are written into the head of an HTTP message.
Line = Annotated[str, msgspec.Meta(pattern=r"\A[^\r\n\0]*\Z")]
Word = Annotated[str, msgspec.Meta(pattern=r"\A[!-~\x80-\U0010ffff]+\Z")]


@attrs.frozen
class Header:
    """One HTTP header of a call or an answer."""

    name: Word
    value: Line
