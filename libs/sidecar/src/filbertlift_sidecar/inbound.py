"""Calls that other nodes send to the keeper here."""

from collections.abc import Callable

import attrs

from filbertlift_mesh import outcomes
from filbertlift_sidecar import frames
from filbertlift_sidecar import keeper as keepers
from filbertlift_sidecar import peerlink

Handler = Callable[[peerlink.PeerLink, frames.Message], None]


@attrs.define(eq=False)
class InboundCalls:
    """Calls under way from other nodes, by link and stream.

    Attributes:
        keeper: runs the calls.
        on_message: takes messages that are not about calls.
        refusal: why no further call is taken, or empty.
    """

    keeper: keepers.Keeper
    on_message: Handler
    refusal: str = ""
    _calls: dict[peerlink.PeerLink, dict[int, keepers.KeptCall]] = attrs.field(
        factory=dict
    )

    def receive(self, link: peerlink.PeerLink, message: frames.Message) -> None:
        """Takes a message of a peer."""
        if isinstance(message, frames.Call):
            self._accept(link, message)
        elif isinstance(message, frames.Cancel):
            kept = self._calls.get(link, {}).pop(message.stream, None)
            if kept is not None:
                self.keeper.cancel(kept)
        else:
            self.on_message(link, message)

    def lose_link(self, link: peerlink.PeerLink, _reason: str) -> None:
        """Withdraws the calls of a lost link; nobody hears their answers."""
        for kept in self._calls.pop(link, {}).values():
            self.keeper.cancel(kept)

    def _accept(self, link: peerlink.PeerLink, call: frames.Call) -> None:
        if self.refusal:
            end = outcomes.AttemptEnd.NOT_RUN
            link.send(frames.Answer(call.stream, end, self.refusal))
            return
        calls = self._calls.setdefault(link, {})

        def send_answer(answer: frames.Answer) -> None:
            if not answer.more:
                calls.pop(call.stream, None)
            link.send(answer)

        def send_chunk(chunk: frames.Chunk) -> None:
            if chunk.is_last:
                calls.pop(call.stream, None)
            link.send(chunk)

        kept = self.keeper.submit(call, send_answer, send_chunk)
        if not kept.is_over:
            calls[call.stream] = kept
