"""HTTP headers as calls and answers carry them."""

from typing import Annotated

import attrs
import msgspec

# Text that is written into the head of an HTTP message.
Line = Annotated[str, msgspec.Meta(pattern=r"\A[^\r\n\0]*\Z")]
Word = Annotated[str, msgspec.Meta(pattern=r"\A[!-~\x80-\U0010ffff]+\Z")]


@attrs.frozen
class Header:
    """One HTTP header of a call or an answer."""

    name: Word
    value: Line
