"""Tests of the codec of datagrams."""

import contextlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from filbertlift_core import model
from filbertlift_wire import datagrams
from filbertlift_wire import exceptions
from filbertlift_wire import frames
from filbertlift_wire import messages

OWN_ADDRESS = model.Address("127.0.0.1", 7_000)
PEER_ADDRESS = model.Address("127.0.0.2", 7_001)
SECRETS = (b"new", b"old")
ACK = messages.Ack(9, OWN_ADDRESS, 17, -1, PEER_ADDRESS)


@pytest.mark.parametrize(
    "message",
    [
        messages.Ping(1, OWN_ADDRESS, 3, 250),
        ACK,
        messages.PingRequest(2, OWN_ADDRESS, PEER_ADDRESS),
    ],
)
def test_datagrams_round_trip(message: messages.Datagram) -> None:
    """Guards against a message that changes or an old secret refused."""
    for secret in SECRETS:
        packet = datagrams.encode_datagram(message, secret)
        assert datagrams.decode_datagram(packet, SECRETS) == message


def test_packets_of_other_clusters_are_refused() -> None:
    """Guards against mixing the members of two clusters on one network."""
    packet = datagrams.encode_datagram(ACK, b"other")
    with pytest.raises(exceptions.WireError, match="other-cluster"):
        datagrams.decode_datagram(packet, SECRETS)


@given(st.binary(max_size=1_300))
def test_hostile_packets_raise_only_wire_errors(data: bytes) -> None:
    """Guards against unhandled errors, whether the digest matches or not."""
    signed = datagrams.make_digest(b"new", data) + data
    for packet in (data, signed):
        with contextlib.suppress(exceptions.WireError):
            datagrams.decode_datagram(packet, SECRETS)


def test_control_message_in_a_packet_is_refused() -> None:
    """Guards against control messages that bypass the greeting of a link."""
    frame = frames.encode_message(messages.Fetch(1))
    header = frame[frames.PREFIX.size :]
    packet = datagrams.make_digest(b"new", header) + header
    with pytest.raises(exceptions.WireError, match="unknown-kind"):
        datagrams.decode_datagram(packet, SECRETS)


def test_secrets_longer_than_the_key_are_distinguished() -> None:
    """Guards against truncating secrets to the size of the key."""
    packet = datagrams.encode_datagram(ACK, b"x" * 64 + b"1")
    with pytest.raises(exceptions.WireError):
        datagrams.decode_datagram(packet, [b"x" * 64 + b"2"])
