"""Interfaces between the two ends of an attempt, and limits of streams."""

from collections.abc import Callable
from typing import Protocol

import attrs

from filbertlift_wire import messages

# Answers up to this size are buffered and sent as one frame; larger ones are
# streamed.
MAX_BUFFERED_BYTES = 64 * 1024
# Unacknowledged bytes of a stream above which the sender pauses until it gets
# credit.
WINDOW_BYTES = 256 * 1024
# Bytes of a body in one frame; a frame is limited to 256 KB.
FRAME_BYTES = 128 * 1024


@attrs.frozen
class Listener:
    """Callbacks for the answer to one attempt.

    Attributes:
        on_answer: called with the head of the answer and its body, or the
            first part of it if `more` is set.
        on_chunk: called with each further part of the body.
    """

    on_answer: Callable[[messages.Answer], None]
    on_chunk: Callable[[messages.Chunk], None]


class Attempt(Protocol):
    """An open attempt, at this node or at another one."""

    def pause(self) -> None:
        """Pauses the stream of the answer."""

    def resume(self) -> None:
        """Resumes the stream of the answer."""

    def cancel(self, on_done: Callable[[bool], None] | None) -> None:
        """Withdraws the call if it has not started.

        Args:
            on_done: called with whether the call may have run; None if the
                result is not needed.
        """


def ignore_answer(_answer: messages.Answer) -> None:
    """Discards an answer."""


def ignore_chunk(_chunk: messages.Chunk) -> None:
    """Discards a part of an answer."""


NULL_LISTENER = Listener(ignore_answer, ignore_chunk)
