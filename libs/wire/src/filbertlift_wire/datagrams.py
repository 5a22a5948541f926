"""Datagrams: a keyed digest of the cluster secret, then a capnp header."""

from collections.abc import Sequence
import hashlib
import hmac

from filbertlift_core import exceptions as core_exceptions
from filbertlift_wire import conversion
from filbertlift_wire import exceptions
from filbertlift_wire import messages

MAX_DATAGRAM_BYTES = 1_200
DIGEST_BYTES = 16


def make_digest(secret: bytes, data: bytes) -> bytes:
    """Returns the keyed digest of a datagram."""
    return hashlib.blake2b(
        data, digest_size=DIGEST_BYTES, key=secret[:64]
    ).digest()


def encode_datagram(message: messages.Datagram, secret: bytes) -> bytes:
    """Returns the packet of a message.

    Raises:
        WireError: if it is over the limit or a value does not fit.
    """
    kind = conversion.KINDS[type(message)]
    values = conversion.convert_fields(message, kind)
    header = conversion.write_header(kind, values)
    packet = make_digest(secret, header) + header
    if len(packet) > MAX_DATAGRAM_BYTES:
        raise exceptions.WireError("too-large", f"{len(packet)} bytes")
    return packet


def decode_datagram(
    packet: bytes, secrets: Sequence[bytes]
) -> messages.Datagram:
    """Returns the message of a packet.

    Raises:
        WireError: if it is malformed or signed with none of the secrets.
    """
    if not DIGEST_BYTES < len(packet) <= MAX_DATAGRAM_BYTES:
        raise exceptions.WireError("too-large", f"{len(packet)} bytes")
    digest, header = packet[:DIGEST_BYTES], packet[DIGEST_BYTES:]
    if not any(
        hmac.compare_digest(digest, make_digest(secret, header))
        for secret in secrets
    ):
        raise exceptions.WireError("other-cluster", "no secret matches")
    kind, values = conversion.read_header(header)
    if kind.record not in messages.Datagram.__args__:
        raise exceptions.WireError("unknown-kind", kind.name)
    try:
        fields = conversion.read_fields(values, kind)
    except (KeyError, core_exceptions.ModelError) as error:
        raise exceptions.WireError("malformed", str(error)) from error
    return conversion.build_record(kind, fields)
