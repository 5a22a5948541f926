"""Request bodies that are too large to be collected."""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.define(eq=False)
class Upload:
    """A request body that arrives in parts, after its request.

    Attributes:
        length: bytes of the whole body, as the caller declared it.
        is_over: whether the whole body was received.
    """

    length: int
    _transport: Any
    is_over: bool = False
    is_paused: bool = False
    _on_body: Callable[[bytes], None] | None = None
    _on_end: Callable[[], None] | None = None
    _held: list[bytes] = attrs.field(factory=list)

    @property
    def is_suspended(self) -> bool:
        """Whether the caller has nothing to send now."""
        return self.is_over or self.is_paused

    def start(
        self, on_body: Callable[[bytes], None], on_end: Callable[[], None]
    ) -> None:
        """Hands on the body; a caller that hangs up is told by the reply."""
        self._on_body = on_body
        self._on_end = on_end
        self._release()

    def pause(self) -> None:
        """Stops reading; what was read already still arrives."""
        if self.is_paused or self.is_over:
            return
        self.is_paused = True
        self._transport.pauseProducing()

    def resume(self) -> None:
        """Reads again."""
        if not self.is_paused:
            return
        self.is_paused = False
        self._transport.resumeProducing()

    def receive(self, data: bytes) -> None:
        """Part of the body arrived; called by the reader."""
        self._held.append(data)
        self._release()

    def end(self) -> None:
        """The body is complete; called by the reader."""
        self.is_over = True
        self._release()

    def _release(self) -> None:
        if self._on_body is None or self._on_end is None:
            return
        held, self._held = self._held, []
        for data in held:
            self._on_body(data)
        if self.is_over:
            on_end, self._on_end = self._on_end, None
            on_end()
