"""Messages between nodes, one frozen class for each kind.

msgspec encodes the messages of calls according to these annotations. A field
that a later wire version adds to one of them needs a default; older nodes
ignore it.
"""

from typing import Annotated

import attrs
import msgspec

from filbertlift_core import model
from filbertlift_wire import headers

U16 = Annotated[int, msgspec.Meta(ge=0, lt=2**16)]
U32 = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
# msgspec supports no bound above 63 bits.
U63 = Annotated[int, msgspec.Meta(ge=0, lt=2**63 - 1)]
# These are in a separate module because the HTTP code of the transport library
# uses no other messages.
Word = headers.Word
Line = headers.Line
Header = headers.Header


@attrs.frozen
class Hello:
    """First message on a link, from the node that opened it.

    Attributes:
        cluster: name of the cluster; both ends of a link must be in the same
            cluster.
        wire_version: newest protocol version that the sender speaks.
        member: the sender.
        version: configuration version in force at the sender.
        proof: HMAC over the nonces, empty until the sender knows both.
        nonce: random bytes that the receiver's proof must cover.
    """

    cluster: str
    wire_version: int
    member: model.Member
    version: int
    proof: bytes
    nonce: bytes


@attrs.frozen
class Welcome:
    """Answer to `Hello`, with the same fields."""

    cluster: str
    wire_version: int
    member: model.Member
    version: int
    proof: bytes
    nonce: bytes


@attrs.frozen
class Heartbeat:
    """State of the sender, sent every second.

    From it the receiver recovers what earlier messages failed to deliver.

    Attributes:
        version: configuration version in force at the sender.
        root: hash of that version.
        age_ms: time since a watcher confirmed the head at the store, in
            milliseconds, or -1 when it is unknown.
        queue: calls waiting at the sender.
        number: sequence number of the heartbeat on this link.
        echo: number of the last heartbeat received on the link, 0 for none.
        held_ms: time since that heartbeat was received, in milliseconds.
    """

    version: int
    root: str
    age_ms: int
    queue: int
    number: int
    echo: int
    held_ms: int


@attrs.frozen
class Call:
    """A call for the target that the receiver serves.

    Attributes:
        stream: number of the call on this link.
        call_id: identity of the call, unique in the cluster.
        caller: name of the caller.
        token: the caller's token, verified again by the receiver.
        service: name of the service.
        method: HTTP method.
        path: path with the query string.
        headers: HTTP headers for the target.
        deadline_ms: time remaining, in milliseconds.
        version: configuration version that the call was routed under.
        depth: number of calls in the chain before this one.
        attempt: 1 for the first attempt.
        incarnation: incarnation of the keeper that the call is for, 0 for any.
        keyed: whether the caller gave an idempotency key.
        fingerprint: hash of the request, to detect a reused key.
        asker: id of the caller's request; keepers see the same id on every
            link.
        more: whether the body continues in chunks.
        body: the body or its first part.
    """

    stream: U32
    call_id: bytes
    caller: Line
    token: str
    service: str
    method: Word
    path: Word
    headers: tuple[Header, ...]
    deadline_ms: U32
    version: U63
    depth: U32
    attempt: U32
    incarnation: U63
    keyed: bool
    fingerprint: bytes
    asker: str
    more: bool
    body: bytes


@attrs.frozen
class Answer:
    """Answer to a call.

    Attributes:
        stream: number of the call on this link.
        outcome: whether the call ran.
        code: stable code of a refusal or failure, empty when done.
        status: HTTP status.
        headers: HTTP headers of the response.
        queue: calls waiting at the sender.
        version: configuration version that the call ran under.
        retry_after_ms: time after which to retry, in milliseconds, 0 if not
            given.
        retried: whether this repeats an answer that the keeper kept.
        incarnation: incarnation of the keeper.
        more: whether the body continues in chunks.
        body: the body or its first part.
    """

    stream: U32
    outcome: model.Outcome
    code: str
    status: U16
    headers: tuple[Header, ...]
    queue: U32
    version: U63
    retry_after_ms: U32
    retried: bool
    incarnation: U63
    more: bool
    body: bytes


@attrs.frozen
class Chunk:
    """Part of a body; `failed` means that the rest of it will not follow."""

    stream: U32
    last: bool
    failed: bool
    body: bytes


@attrs.frozen
class Credit:
    """Allows the peer to send this many more bytes on a stream."""

    stream: U32
    bytes: U32


@attrs.frozen
class Cancel:
    """The caller no longer waits for the call."""

    stream: U32
    call_id: bytes


@attrs.frozen
class Cancelled:
    """Answer to `Cancel`; `ran` tells whether the call had been started."""

    stream: U32
    call_id: bytes
    ran: bool


@attrs.frozen
class Settle:
    """Asks for the outcome of a call at one incarnation of the keeper.

    Attributes:
        stream: number of the request on this link.
        call_id: identity of the call.
        incarnation: incarnation of the keeper that the call was sent to.
        attempt: number of the attempt that was sent.
        age_ms: milliseconds since it was sent, by the sender's clock.
        fingerprint: hash of the request, as in the call.
        asker: as in the call.
    """

    stream: U32
    call_id: bytes
    incarnation: U63
    attempt: U32
    age_ms: U32
    fingerprint: bytes
    asker: str


@attrs.frozen
class Settled:
    """Answer to `Settle`, with the kept answer if there is one."""

    stream: U32
    call_id: bytes
    outcome: model.Outcome
    known: bool
    running: bool
    code: str
    status: U16
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen
class Notice:
    """Announces the sender's version; the fields are as in `Heartbeat`."""

    version: int
    root: str
    age_ms: int


@attrs.frozen
class Fetch:
    """Asks for an update from a version; 0 asks for the whole configuration."""

    base_version: int


@attrs.frozen
class Update:
    """Part of an answer to `Fetch`.

    Attributes:
        base_version: version that the encoded delta applies to.
        last: whether this is the last part.
        body: the part of the encoded delta.
    """

    base_version: int
    last: bool
    body: bytes


@attrs.frozen
class Gossip:
    """Members whose state changed."""

    members: tuple[model.Member, ...]


@attrs.frozen
class DigestEntry:
    """Digest of the members of one data centre."""

    data_centre: str
    digest: str


@attrs.frozen
class Digest:
    """Digests of the sender's member table."""

    entries: tuple[DigestEntry, ...]


@attrs.frozen
class Report:
    """Tells that the sender holds this configuration version."""

    version: int


@attrs.frozen
class Reported:
    """Answer to `Report`: the sender recorded the version as a floor."""

    version: int


@attrs.frozen
class AskFloor:
    """Asks for the version floor of a host."""

    address: model.Address


@attrs.frozen
class Floor:
    """Answer to `AskFloor`.

    Attributes:
        version: version in force at the sender.
        floor: highest version that the host reported to the sender.
        complete: whether the sender itself has collected all floors.
    """

    version: int
    floor: int
    complete: bool


@attrs.frozen
class Ping:
    """Probe of the receiver; sent as a datagram."""

    sequence: int
    sender: model.Address
    version: int
    age_ms: int


@attrs.frozen
class Ack:
    """Answer to a probe of the node `about`; sent as a datagram."""

    sequence: int
    sender: model.Address
    version: int
    age_ms: int
    about: model.Address


@attrs.frozen
class PingRequest:
    """Asks the receiver to probe the node `about`; sent as a datagram."""

    sequence: int
    sender: model.Address
    about: model.Address


Message = (
    Hello
    | Welcome
    | Heartbeat
    | Call
    | Answer
    | Chunk
    | Credit
    | Cancel
    | Cancelled
    | Settle
    | Settled
    | Notice
    | Fetch
    | Update
    | Gossip
    | Digest
    | Report
    | Reported
    | AskFloor
    | Floor
)
Datagram = Ping | Ack | PingRequest
# The position, from 1, is the kind of frame, so new messages go at the end.
CALL_MESSAGES = (
    Call,
    Answer,
    Chunk,
    Credit,
    Cancel,
    Cancelled,
    Settle,
    Settled,
)
