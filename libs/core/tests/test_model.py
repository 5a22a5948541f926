"""Tests of the shared records."""

import contextlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from filbertlift_core import exceptions
from filbertlift_core import model


@given(st.text())
def test_parse_address_raises_only_model_error(text: str) -> None:
    """Guards against an unhandled exception on malicious input."""
    with contextlib.suppress(exceptions.ModelError):
        model.Address.parse(text)


@pytest.mark.parametrize("text", ["", ":1", "a", "a:", "a:-1", "a:70000"])
def test_parse_address_rejects_invalid_text(text: str) -> None:
    with pytest.raises(exceptions.ModelError):
        model.Address.parse(text)
