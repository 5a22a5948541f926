"""Calls that other nodes send to the keeper of this node."""

from collections.abc import Callable
from typing import Final

import attrs

from filbertlift_calls import means
from filbertlift_mesh import outcomes
from filbertlift_mesh import reasons
from filbertlift_sidecar import bodies
from filbertlift_sidecar import frames
from filbertlift_sidecar import keeper as keepers
from filbertlift_sidecar import peerlink
from filbertlift_sidecar import uplink as uplinks
from filbertlift_transport import memory as memories

# Time that queued data may occupy the link before targets of streamed answers
# are no longer read, in seconds. Their sockets hold more than the link sends
# until they are read again.
MAX_STREAM_BACKLOG_S: Final = 0.5
# The same in bytes, for links so wide that the time alone would let the queue
# take much of the memory.
MAX_STREAM_BACKLOG_BYTES: Final = 8 * 1024 * 1024

# Budget of the bodies of calls unless another one is given, in bytes.
DEFAULT_BODY_BYTES: Final = 64 * 1024 * 1024


def _ignore_eviction() -> None:
    """Does nothing, since complete calls are not evicted."""


Handler = Callable[[peerlink.PeerLink, frames.Message], None]


@attrs.define(eq=False)
class InboundCalls:
    """Calls in progress from other nodes, by link and stream.

    Unlike `filbertlift_node.inbound`, it withdraws every call of a lost link
    and answers no inquiries for outcomes.

    Attributes:
        keeper: runs the calls.
        uplink: sends the answers.
        on_message: called with each message that is not about a call.
        memory: budget of the bodies of the calls.
        heads: budget of the other objects of the calls.
        refusal: reason with which all new calls are refused, or empty.
    """

    keeper: keepers.Keeper
    uplink: uplinks.Uplink
    on_message: Handler
    memory: memories.MemoryBudget = attrs.field(
        factory=lambda: memories.MemoryBudget.from_limit(DEFAULT_BODY_BYTES)
    )
    heads: memories.ChargeBudget = attrs.field(
        factory=lambda: memories.ChargeBudget.from_limit(
            memories.DEFAULT_HEAD_BYTES
        )
    )
    refusal: str = ""
    _charges: dict[peerlink.PeerLink, dict[int, memories.Charge]] = attrs.field(
        factory=dict
    )
    _bodies: bodies.ArrivingBodies = attrs.field(
        default=attrs.Factory(
            lambda self: bodies.ArrivingBodies(
                self.uplink.reactor,
                self.memory,
                bodies.BodyEvents(self._accept_whole, self._refuse_body),
            ),
            takes_self=True,
        )
    )
    _answer_sizes: dict[str, means.Mean] = attrs.field(factory=dict)
    _calls: dict[peerlink.PeerLink, dict[int, keepers.KeptCall]] = attrs.field(
        factory=dict
    )

    def receive(self, link: peerlink.PeerLink, message: frames.Message) -> None:
        """Handles a message of a peer."""
        if isinstance(message, frames.Call):
            self._accept(link, message)
        elif isinstance(message, frames.Cancel):
            self.uplink.withdraw(link, message.stream)
            self._bodies.drop(link, message.stream)
            self._release_head(link, message.stream)
            kept = self._calls.get(link, {}).pop(message.stream, None)
            if kept is not None:
                self.keeper.cancel(kept)
        elif isinstance(message, frames.BodyPart):
            self._bodies.receive(link, message)
            if message.left == frames.WITHDRAWN:
                self._release_head(link, message.stream)
        elif isinstance(message, frames.Pause):
            kept = self._calls.get(link, {}).get(message.stream)
            if kept is not None:
                self.keeper.pause(kept, message.is_paused)
        else:
            self.on_message(link, message)

    def handle_link_down(self, link: peerlink.PeerLink, _reason: str) -> None:
        """Withdraws the calls of a lost link, whose answers cannot be sent."""
        self.uplink.withdraw(link)
        self._bodies.drop_link(link)
        for charge in self._charges.pop(link, {}).values():
            charge.release()
        for kept in self._calls.pop(link, {}).values():
            self.keeper.cancel(kept)

    def _accept(self, link: peerlink.PeerLink, call: frames.Call) -> None:
        if self.refusal:
            self._refuse(link, call, self.refusal, 0.0)
            return
        wait_s = self._estimate_link_wait(call)
        if wait_s > call.max_wait_ms / 1000:
            self._refuse(link, call, reasons.WAIT_TOO_LONG, wait_s)
            return
        if not self._charge_head(link, call):
            self._refuse(link, call, reasons.NO_MEMORY, 0.0)
            return
        if isinstance(call, frames.LargeCall):
            self._bodies.expect(link, call)
            return
        if not call.body:
            self._submit(link, call, keepers.ignore_body_release)
            return
        grant = self.memory.take(len(call.body), lambda: None)
        if grant is not None and grant.is_granted:
            self._submit(link, call, grant.release)
            return
        if grant is not None:
            grant.release()
            self.memory.note_refused()
        self._refuse_body(link, call, reasons.NO_MEMORY)

    def _charge_head(self, link: peerlink.PeerLink, call: frames.Call) -> bool:
        """Charges the head of a call; returns whether there is memory for it.

        Calls of many hosts wait here, so the budgets of their entries do not
        bound what they take together.
        """
        characters = len(call.path) + sum(
            len(name) + len(value) for name, value in call.headers
        )
        head_bytes = memories.estimate_head(len(call.headers), characters)
        charge = self.heads.open(_ignore_eviction)
        charge.complete()
        if not charge.resize(memories.REQUEST_BYTES + head_bytes):
            charge.release()
            return False
        self._release_head(link, call.stream)
        self._charges.setdefault(link, {})[call.stream] = charge
        return True

    def _release_head(self, link: peerlink.PeerLink, stream: int) -> None:
        charge = self._charges.get(link, {}).pop(stream, None)
        if charge is not None:
            charge.release()

    def _accept_whole(
        self,
        link: peerlink.PeerLink,
        call: frames.Call,
        grant: memories.Grant,
    ) -> None:
        """Starts a call whose large body has arrived."""
        if self.refusal:
            grant.release()
            self._refuse_body(link, call, self.refusal)
            return
        self._submit(link, call, grant.release)

    def _refuse_body(
        self, link: peerlink.PeerLink, call: frames.Call, reason: str
    ) -> None:
        self._refuse(link, call, reason, 0.0)

    def _submit(
        self,
        link: peerlink.PeerLink,
        call: frames.Call,
        on_body_released: keepers.BodyReleaseFunction,
    ) -> None:
        calls = self._calls.setdefault(link, {})

        # The functions must not refer to the call, which holds its body.
        stream, work_class = call.stream, call.work_class

        def send_answer(answer: frames.Answer) -> None:
            if not answer.more:
                calls.pop(stream, None)
                self._release_head(link, stream)
            if answer.status:
                size = self._answer_sizes.setdefault(work_class, means.Mean())
                size.add(len(answer.body))
            self.uplink.send(link, stream, answer)

        def send_chunk(chunk: frames.Chunk) -> None:
            if chunk.is_last:
                calls.pop(stream, None)
                self._release_head(link, stream)
            self.uplink.send(link, stream, chunk)

        kept = self.keeper.submit(
            call,
            send_answer,
            send_chunk,
            lambda: self._is_backlogged(link),
            on_body_released,
        )
        if not kept.is_over:
            calls[stream] = kept

    def _is_backlogged(self, link: peerlink.PeerLink) -> bool:
        """Returns whether data for a peer waits on this host."""
        return (
            link.is_full
            or self.uplink.backlog_s > MAX_STREAM_BACKLOG_S
            or self.uplink.queued_bytes > MAX_STREAM_BACKLOG_BYTES
        )

    def _estimate_link_wait(self, call: frames.Call) -> float:
        """Returns how long a large answer would wait for this host's link.

        The wait is in seconds, and counts from the end of the run.
        """
        size = self._answer_sizes.get(call.work_class)
        if size is None or size.value <= self.uplink.fragment_bytes:
            return 0.0
        run_s = self.keeper.backlog.get_service_time(call.work_class)
        return max(0.0, self.uplink.backlog_s - run_s)

    def _refuse(
        self,
        link: peerlink.PeerLink,
        call: frames.Call,
        reason: str,
        wait_s: float,
    ) -> None:
        self._release_head(link, call.stream)
        self.keeper.log.log_request(
            "inbound.refused",
            id=call.request_id,
            reason=reason,
            link_wait_s=wait_s,
        )
        link.send(
            frames.Answer(
                call.stream,
                outcomes.AttemptEnd.NOT_RUN,
                reason,
                busy=self.keeper.backlog.busy,
                retry_after_ms=int(wait_s * 1000),
            )
        )
