"""What the two ends of an attempt know of one another."""

from collections.abc import Callable
from typing import Protocol

import attrs

from filbertlift_wire import messages

# Bytes of an answer that are held back so that it travels as one frame;
# longer answers are streamed.
WHOLE_BYTES = 64 * 1024
# Bytes of a stream that may be under way before the receiver grants more.
WINDOW_BYTES = 256 * 1024
# Bytes of a body in one frame, under the frame's limit of 256 KB.
FRAME_BYTES = 128 * 1024


@attrs.frozen
class Listener:
    """Functions that hear the answer to one attempt.

    Attributes:
        on_answer: the head of the answer with its body or first part; the
            only event unless `more` is set.
        on_chunk: a further part of the body.
    """

    on_answer: Callable[[messages.Answer], None]
    on_chunk: Callable[[messages.Chunk], None]


class Attempt(Protocol):
    """An attempt under way, here or at another node."""

    def pause(self) -> None:
        """Stops the stream of the answer until `resume`."""

    def resume(self) -> None:
        """Continues the stream of the answer."""

    def cancel(self, on_done: Callable[[bool], None] | None) -> None:
        """Withdraws the call if it has not started.

        Args:
            on_done: told whether the call may have run; None when nobody
                waits for it.
        """


def ignore_answer(_answer: messages.Answer) -> None:
    """Drops an answer that nobody waits for."""


def ignore_chunk(_chunk: messages.Chunk) -> None:
    """Drops a part of an answer that nobody waits for."""


DEAF = Listener(ignore_answer, ignore_chunk)
