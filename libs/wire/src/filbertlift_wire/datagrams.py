"""Datagrams: a digest keyed with the cluster secret, then a capnp header."""

from collections.abc import Sequence
import hashlib
import hmac

from filbertlift_wire import conversion
from filbertlift_wire import exceptions
from filbertlift_wire import messages

MAX_DATAGRAM_BYTES = 1_200
DIGEST_BYTES = 16
DATAGRAMS = frozenset(messages.Datagram.__args__)


def make_digest(secret: bytes, data: bytes) -> bytes:
    """Returns the keyed digest of a datagram."""
    if len(secret) > hashlib.blake2b.MAX_KEY_SIZE:
        secret = hashlib.sha256(secret).digest()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=secret).digest()


def encode_datagram(message: messages.Datagram, secret: bytes) -> bytes:
    """Returns the packet for a message.

    Raises:
        WireError: if the packet exceeds the limit or a value does not fit its
            field.
    """
    header = conversion.encode_header(message)
    packet = make_digest(secret, header) + header
    if len(packet) > MAX_DATAGRAM_BYTES:
        raise exceptions.WireError("too-large", f"{len(packet)} bytes")
    return packet


def decode_datagram(
    packet: bytes, secrets: Sequence[bytes]
) -> messages.Datagram:
    """Returns the message in a packet.

    Raises:
        WireError: if the packet is malformed or its digest matches none of
            the secrets.
    """
    if not DIGEST_BYTES < len(packet) <= MAX_DATAGRAM_BYTES:
        raise exceptions.WireError("too-large", f"{len(packet)} bytes")
    digest, header = packet[:DIGEST_BYTES], packet[DIGEST_BYTES:]
    if not any(
        hmac.compare_digest(digest, make_digest(secret, header))
        for secret in secrets
    ):
        raise exceptions.WireError("other-cluster", "no secret matches")
    message = conversion.decode_header(header)
    if type(message) not in DATAGRAMS:
        raise exceptions.WireError("unknown-kind", "not a datagram")
    return message
