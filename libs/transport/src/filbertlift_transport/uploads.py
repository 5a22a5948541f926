"""Request bodies that are too large to be buffered as a whole."""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.define(eq=False)
class Upload:
    """A request body that is passed on in parts, after its request.

    Attributes:
        length: declared length of the body in bytes.
        is_over: whether the whole body was received.
        is_paused: whether reading from the connection is paused.
    """

    length: int
    _transport: Any
    is_over: bool = False
    is_paused: bool = False
    _on_body: Callable[[bytes], None] | None = None
    _on_end: Callable[[], None] | None = None
    _buffer: list[bytes] = attrs.field(factory=list)

    @property
    def is_suspended(self) -> bool:
        """Whether no data is expected from the caller now."""
        return self.is_over or self.is_paused

    def start(
        self, on_body: Callable[[bytes], None], on_end: Callable[[], None]
    ) -> None:
        """Starts to pass on the body.

        The reply reports a caller that disconnects.
        """
        self._on_body = on_body
        self._on_end = on_end
        self._deliver()

    def pause(self) -> None:
        """Pauses reading; data that was already read is still passed on."""
        if self.is_paused or self.is_over:
            return
        self.is_paused = True
        self._transport.pauseProducing()

    def resume(self) -> None:
        """Resumes reading."""
        if not self.is_paused:
            return
        self.is_paused = False
        self._transport.resumeProducing()

    def receive(self, data: bytes) -> None:
        """Adds a part of the body; called by the reader."""
        self._buffer.append(data)
        self._deliver()

    def end(self) -> None:
        """Marks the body as complete; called by the reader."""
        self.is_over = True
        self._deliver()

    def _deliver(self) -> None:
        if self._on_body is None or self._on_end is None:
            return
        parts, self._buffer = self._buffer, []
        for data in parts:
            self._on_body(data)
        if self.is_over:
            on_end, self._on_end = self._on_end, None
            on_end()
