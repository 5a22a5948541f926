"""Tests of the codec of datagrams on input that other nodes may send."""

import attrs
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from filbertlift_core import decoding
from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_sidecar import datagrams
from filbertlift_sidecar import exceptions

ADDRESS = model.Address("10.0.0.2", 7000)
NUMBER = 0x0A000002
ROW = [NUMBER, 7000, 5, 1, 9]
RECORD = [
    *(NUMBER, 7000, 5, 1, "north", "n-1", False),
    *("i-1", 5, "a", 3, 0, True, 1_000),
]
# Values of other types, beyond the ranges, and beyond 64 bits.
ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.floats(),
    strategies.text(max_size=300),
    strategies.integers(-(2**63), 2**64 - 1),
    strategies.sampled_from(
        [-1, 0, 65_536, 2**32, 2**48, 2**53, 2**63, 2**64 - 1, [], {}, [[1]]]
    ),
)


def encode(rows=(), records=(), wanted=(), version=3, kind=0):
    return msgspec.msgpack.encode([kind, version, rows, records, wanted])


def change(entry, index, value):
    return [*entry[:index], value, *entry[index + 1 :]]


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(data):
    """Guards against a datagram that raises past the caller of the decoder."""
    try:
        found = datagrams.decode_datagram(data)
    except exceptions.DatagramError:
        return
    datagrams.encode_datagram(found)


@hypothesis.given(
    strategies.integers(0, len(RECORD) - 1),
    strategies.integers(0, len(ROW) - 1),
    strategies.integers(0, 1),
    ODD_VALUES,
)
def test_an_odd_value_costs_its_own_entry_at_most(
    record_index, row_index, pair_index, value
):
    """Guards against one odd entry that hides the entries beside it.

    What is accepted can be encoded and is read the same by the next node.
    """
    data = encode(
        [ROW, change(ROW, row_index, value)],
        [RECORD, change(RECORD, record_index, value)],
        [[NUMBER, 7000], change([NUMBER, 7000], pair_index, value)],
    )
    found = datagrams.decode_datagram(data)
    assert found.rows[0] == directory.DigestRow(ADDRESS, 5, 1, 9)
    assert found.records[0].address == found.wanted[0] == ADDRESS
    again = datagrams.decode_datagram(datagrams.encode_datagram(found))
    assert again == attrs.evolve(found, rejected=())


@pytest.mark.parametrize(
    ("index", "value"),
    [
        (0, 2**32),
        (1, 0),
        (1, 65_536),
        (1, -1),
        (2, 2**48),
        (2, 2**64 - 1),
        (3, -1),
        (4, "x" * (decoding.MAX_NAME_LENGTH + 1)),
        (10, decoding.MAX_SLOTS + 1),
        (11, 3),
        (13, 2**64 - 1),
    ],
)
def test_a_record_out_of_range_is_rejected(index, value):
    found = datagrams.decode_datagram(
        encode(records=[change(RECORD, index, value), RECORD])
    )
    assert len(found.records) == len(found.rejected) == 1


@pytest.mark.parametrize("version", [-2, 2**32, 2**64 - 1, "3", None])
def test_a_version_out_of_range_rejects_the_datagram(version):
    """Guards against a version that no store holds and all hosts request."""
    with pytest.raises(exceptions.DatagramError):
        datagrams.decode_datagram(encode([ROW], version=version))


def test_deep_nesting_is_rejected():
    """Guards against a RecursionError that the caller does not expect."""
    data = b"\x95\x00\x03" + b"\x91" * 30_000
    with pytest.raises(exceptions.DatagramError):
        datagrams.decode_datagram(data)


@hypothesis.given(strategies.integers(0, 2), ODD_VALUES)
def test_an_odd_departure_costs_only_itself(index, value):
    """Guards against one odd departure that hides those beside it."""
    row = ["i-1", 5, 2]
    data = msgspec.msgpack.encode(
        [datagrams.HELD, 3, [row, change(row, index, value)]]
    )
    found = datagrams.decode_datagram(data)
    left = directory.TargetState.LEFT
    expected = directory.TargetRecord("i-1", 5, "", 0, left)
    assert found.departures[0] == expected
    again = datagrams.decode_datagram(datagrams.encode_datagram(found))
    assert again == attrs.evolve(found, rejected=[])


@pytest.mark.parametrize(
    "kind", [datagrams.HOLD, datagrams.HELD, datagrams.ASK]
)
def test_earlier_builds_reject_departures_as_a_whole(kind):
    """Guards against a departure that an earlier build takes for a digest."""
    data = datagrams.encode_datagram(datagrams.Datagram(kind, 3))
    with pytest.raises(msgspec.ValidationError):
        datagrams._RAW_DECODER.decode(data)
