"""Tests of the response bodies that target and caller derive."""

from hypothesis import given
from hypothesis import strategies as st

from filbertlift_standins import content

LENGTH = content.BLOCK_BYTES * 2 + 100


def feed(request_id: str, data: bytes, size: int) -> content.ContentCheck:
    check = content.ContentCheck(request_id)
    for start in range(0, len(data), size):
        check.feed(data[start : start + size])
    return check


@given(st.integers(1000, 200_000))
def test_download_matches_in_parts_of_any_size(size: int) -> None:
    """Guards against a check that depends on how the bytes are split."""
    data = b"".join(content.iterate_blocks("r1", LENGTH))
    check = feed("r1", data, size)
    assert check.matches
    assert check.received == LENGTH


@given(st.integers(0, LENGTH - 1))
def test_crossed_or_shifted_download_is_detected(at: int) -> None:
    """Guards against a check that accepts another request's bytes."""
    data = b"".join(content.iterate_blocks("r1", LENGTH))
    other = b"".join(content.iterate_blocks("r2", LENGTH))
    assert not feed("r1", data[:at] + other[at:], 5000).matches
    shifted = data[content.BLOCK_BYTES :]
    assert not feed("r1", shifted, 5000).matches


def test_response_to_another_request_is_detected() -> None:
    """Guards against a crossed or truncated response that passes."""
    response = content.make_body("t1", "r1", b"body")
    assert content.is_response_to(response, "r1", b"body")
    assert not content.is_response_to(response, "r2", b"body")
    assert not content.is_response_to(response, "r1", b"other")
    assert not content.is_response_to(response[:-1], "r1", b"body")
