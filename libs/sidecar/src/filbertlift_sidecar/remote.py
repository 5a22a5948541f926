"""Calls that this node sends to keepers on other hosts."""

from collections.abc import Callable
from typing import Any
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import outcomes
from filbertlift_mesh import reasons
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import frames
from filbertlift_sidecar import keeper
from filbertlift_sidecar import peerlink
from filbertlift_sidecar import uplink as uplinks
from filbertlift_transport import http
from filbertlift_transport import memory

# Lanes: the separate links to one peer. Large answers have a link of their own,
# so that small ones do not wait behind them on a narrow link.
SMALL: Final = "small"
BULK: Final = "bulk"

# Reasons why this node closes a link in normal operation.
IDLE: Final = "idle"
NODE_STOPS: Final = "node stops"
_PLANNED_REASONS: Final = (IDLE, NODE_STOPS)
# Ends of calls whose status is passed on to the caller.
_RELAYED_ENDS: Final = (
    outcomes.AttemptEnd.ANSWERED,
    outcomes.AttemptEnd.FAILED,
)

Lane = tuple[model.Address, str]


@attrs.define(eq=False)
class RemoteCall:
    """A call that was sent on a link.

    Attributes:
        link: link that carries the call.
        stream: number of the call on its link.
        on_answer: called with its end, or with the head of a streamed answer.
        on_chunk: called with each further part of a streamed answer.
        is_streaming: whether the head of a streamed answer has arrived.
        body: a large body that the peer has not asked for yet.
        is_body_sent: whether all of the body was sent; the call has certainly
            not run before that.
    """

    link: peerlink.PeerLink
    stream: int
    on_answer: keeper.AnswerFunction
    on_chunk: keeper.ChunkFunction
    is_streaming: bool = False
    body: bytes = b""
    is_body_sent: bool = True


@attrs.define(eq=False)
class RemoteCalls:
    """Links that this node dialled and the calls on them.

    Unlike `filbertlift_node.remote`, it dials the links itself, up to two for
    each peer, and has no inquiries for outcomes.

    Attributes:
        uplink: sends the calls.
        on_suspect: called with the address of a host that has outstanding
            calls and has been silent for a while.
        on_message: called with each message that is not about a call.
        links: the open links by peer and lane.
        is_leaving: whether this node leaves.
    """

    reactor: Any
    log: eventlog.EventLog
    uplink: uplinks.Uplink
    on_suspect: Callable[[model.Address], None]
    on_message: Any = None
    links: dict[Lane, peerlink.PeerLink] = attrs.field(factory=dict)
    is_leaving: bool = False
    _calls: dict[int, RemoteCall] = attrs.field(factory=dict)
    _last_stream: int = 0

    def submit(
        self,
        address: model.Address,
        lane: str,
        call: frames.Call,
        on_answer: keeper.AnswerFunction,
        on_chunk: keeper.ChunkFunction,
    ) -> RemoteCall:
        """Sends a call; its end is reported only after this method returns."""
        link = self.find_link(address, lane)
        self._last_stream += 1
        stream = self._last_stream
        remote = RemoteCall(link, stream, on_answer, on_chunk)
        self._calls[stream] = remote
        link.note_call()
        call = attrs.evolve(call, stream=stream)
        if len(call.body) > memory.SMALL_BODY_BYTES:
            remote.body = call.body
            remote.is_body_sent = False
            call = frames.LargeCall.from_call(call)
        self.uplink.send(link, stream, call)
        return remote

    def cancel(self, remote: RemoteCall) -> bool:
        """Withdraws a call; nothing more is reported.

        Returns:
            Whether it has certainly not run, since the peer lacks a part of it.
        """
        if self._calls.pop(remote.stream, None) is None:
            return False
        remote.link.note_end()
        is_unsent = self._withdraw_data(remote) or not remote.is_body_sent
        remote.link.send(frames.Cancel(remote.stream))
        return is_unsent

    def pause(self, remote: RemoteCall, is_paused: bool) -> None:
        """Stops or resumes the reading of a streamed answer at its target."""
        if remote.stream in self._calls:
            remote.link.send(frames.Pause(remote.stream, is_paused))

    def find_link(self, address: model.Address, lane: str) -> peerlink.PeerLink:
        """Returns the link to a peer, and dials one if there is none."""
        link = self.links.get((address, lane))
        if link is not None and not link.is_closed:
            return link
        events = peerlink.LinkEvents(
            self._receive, self._handle_down, self._report_suspect
        )
        link = peerlink.PeerLink(self.reactor, events, address)
        link.has_silence_limit = not self.is_leaving
        self.links[(address, lane)] = link
        link.connect()
        return link

    def leave(self) -> None:
        """Keeps silent links open while this node leaves.

        All its calls end soon, and a peer that is only slow has their targets
        at work.
        """
        self.is_leaving = True
        for link in self.links.values():
            link.has_silence_limit = False

    def close_idle(self) -> None:
        """Closes the links that were idle for longer than the limit."""
        now = self.reactor.seconds()
        for link in list(self.links.values()):
            idle_s = now - link.last_used
            if not link.outstanding and idle_s > peerlink.IDLE_LIMIT_S:
                link.close(IDLE)

    @property
    def is_sent(self) -> bool:
        """Whether the peers' kernels have received all sent messages."""
        return all(link.is_sent for link in self.links.values())

    def close(self) -> None:
        """Closes all links."""
        for link in list(self.links.values()):
            link.end(NODE_STOPS)

    def _receive(
        self, link: peerlink.PeerLink, message: frames.Message
    ) -> None:
        if isinstance(message, frames.Answer):
            self._receive_answer(link, message)
        elif isinstance(message, frames.Chunk):
            self._receive_chunk(link, message)
        elif isinstance(message, frames.BodyRequest):
            self._send_body(link, message.stream)
        elif self.on_message is not None:
            self.on_message(link, message)

    def _find_call(
        self, link: peerlink.PeerLink, stream: int
    ) -> RemoteCall | None:
        """Returns the call of a message, or None if it came on another link."""
        remote = self._calls.get(stream)
        return remote if remote is not None and remote.link is link else None

    def _receive_answer(
        self, link: peerlink.PeerLink, answer: frames.Answer
    ) -> None:
        remote = self._find_call(link, answer.stream)
        if remote is None:
            return
        if remote.is_streaming:
            # The caller already has the head of the answer.
            link.close("second answer to a call")
            return
        if not _has_valid_status(answer):
            answer = self._replace_malformed(link, answer)
        remote.is_streaming = answer.more
        if not answer.more:
            self._remove_call(remote)
        remote.on_answer(answer)

    def _replace_malformed(
        self, link: peerlink.PeerLink, answer: frames.Answer
    ) -> frames.Answer:
        """Returns the end of a call whose answer can't be passed on."""
        if answer.more:
            link.send(frames.Cancel(answer.stream))
        return frames.Answer(
            answer.stream,
            outcomes.AttemptEnd.BROKEN,
            reasons.MALFORMED_ANSWER,
            target_id=answer.target_id,
        )

    def _receive_chunk(
        self, link: peerlink.PeerLink, chunk: frames.Chunk
    ) -> None:
        remote = self._find_call(link, chunk.stream)
        if remote is None:
            return
        if not remote.is_streaming:
            link.close("chunk before the head of an answer")
            return
        if chunk.is_last:
            self._remove_call(remote)
        remote.on_chunk(chunk)

    def _send_body(self, link: peerlink.PeerLink, stream: int) -> None:
        """Sends the body of a call in parts, as fast as the link takes them."""
        remote = self._find_call(link, stream)
        if remote is None or not remote.body:
            return
        body, remote.body = remote.body, b""

        def write(part: bytes, left: int) -> None:
            remote.is_body_sent = not left
            link.send(frames.BodyPart(stream, part, left))

        self.uplink.offer(
            link, stream, memoryview(body), write, lambda: link.is_full
        )

    def _withdraw_data(self, remote: RemoteCall) -> bool:
        """Drops what was not sent of a call; returns whether there was any."""
        remote.body = b""
        return bool(self.uplink.withdraw(remote.link, remote.stream))

    def _remove_call(self, remote: RemoteCall) -> None:
        del self._calls[remote.stream]
        self._withdraw_data(remote)
        remote.link.note_end()

    def _report_suspect(self, link: peerlink.PeerLink) -> None:
        if link.address is not None:
            self.on_suspect(link.address)

    def _handle_down(self, link: peerlink.PeerLink, reason: str) -> None:
        unsent = self.uplink.withdraw(link)
        for lane, open_link in list(self.links.items()):
            if open_link is link:
                del self.links[lane]
        lost = [item for item in self._calls.values() if item.link is link]
        if lost or reason not in _PLANNED_REASONS:
            self.log.log(
                "link.down", peer=link.address, reason=reason, calls=len(lost)
            )
        # Unless the link was never open, bytes of a call may have been sent.
        was_open = link.transport is not None
        for remote in lost:
            del self._calls[remote.stream]
            remote.body = b""
            is_sent = remote.is_body_sent and remote.stream not in unsent
            end = (
                outcomes.AttemptEnd.BROKEN
                if was_open and is_sent
                else outcomes.AttemptEnd.NOT_RUN
            )
            if remote.is_streaming:
                remote.on_chunk(
                    frames.Chunk(remote.stream, b"", True, failed=True)
                )
            else:
                remote.on_answer(
                    frames.Answer(
                        remote.stream, end, reasons.LINK_PREFIX + reason
                    )
                )


def _has_valid_status(answer: frames.Answer) -> bool:
    """Returns whether a status that is passed on can end a request.

    Hosts of earlier builds pass any status of their targets on.
    """
    is_relayed = answer.end in _RELAYED_ENDS
    return not is_relayed or http.is_final_status(answer.status)
