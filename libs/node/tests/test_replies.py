"""Tests of answers that come from the node instead of the target."""

import fakes
import pytest

from filbertlift_calls import codes
from filbertlift_core import model
from filbertlift_node import replies


@pytest.mark.parametrize(
    ("code", "retry_after_s", "expected"),
    [
        (codes.NO_TARGET, None, "1"),
        (codes.WAIT, 2.2, "3"),
        # A repeat of the same request would be refused again.
        (codes.DENIED, 1.0, None),
        (codes.KEY_REUSED, None, None),
    ],
)
def test_only_temporary_refusals_have_retry_after(
    code: str, retry_after_s: float | None, expected: str | None
) -> None:
    """Guards against a 503 without Retry-After and a 403 with one."""
    reply = fakes.FakeReply()
    replies.send_error(reply, model.Outcome.NOT_RUN, code, retry_after_s)  # type: ignore[arg-type]
    assert reply.headers.get("Retry-After") == expected
