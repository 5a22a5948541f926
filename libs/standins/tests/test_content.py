"""Tests of the content that target and caller derive."""

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
def test_download_agrees_however_it_is_cut(size: int) -> None:
    data = b"".join(content.iterate_blocks("r1", LENGTH))
    check = feed("r1", data, size)
    assert check.agrees
    assert check.received == LENGTH


@given(st.integers(0, LENGTH - 1))
def test_crossed_or_shifted_download_is_found(at: int) -> None:
    """Guards against a check that accepts another request's bytes."""
    data = b"".join(content.iterate_blocks("r1", LENGTH))
    other = b"".join(content.iterate_blocks("r2", LENGTH))
    assert not feed("r1", data[:at] + other[at:], 5000).agrees
    moved = data[content.BLOCK_BYTES :]
    assert not feed("r1", moved, 5000).agrees


def test_answer_to_another_request_is_found() -> None:
    answer = content.make_answer("t1", "r1", b"body")
    assert content.is_answer_to(answer, "r1", b"body")
    assert not content.is_answer_to(answer, "r2", b"body")
    assert not content.is_answer_to(answer, "r1", b"other")
    assert not content.is_answer_to(answer[:-1], "r1", b"body")
