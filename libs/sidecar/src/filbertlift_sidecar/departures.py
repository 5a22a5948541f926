"""Codec of the departures of targets that nodes save in the store."""

from collections.abc import Sequence
from typing import Final

import msgspec

from filbertlift_core import decoding
from filbertlift_mesh import directory
from filbertlift_sidecar import datagrams
from filbertlift_sidecar import exceptions

# Departures that are saved; earlier ones are dropped. A target and its
# successor at the same address may leave one soon after the other.
MAX_SAVED: Final = 4

_Row = tuple[decoding.Name, decoding.Stamp, datagrams.State]
_DECODER: Final = msgspec.json.Decoder(list[_Row])
# Earlier builds saved a single departure.
_SINGLE_DECODER: Final = msgspec.json.Decoder(_Row)


def encode_departures(targets: Sequence[directory.TargetRecord]) -> bytes:
    """Returns the saved form of departures, the last one at the end."""
    return msgspec.json.encode(
        [
            (target.target_id, target.born_ms, int(target.state))
            for target in targets[-MAX_SAVED:]
        ]
    )


def decode_departures(value: bytes) -> list[directory.TargetRecord]:
    """Returns the incarnations that departed, without service and slots.

    Raises:
        DepartureError: if the value is malformed.
    """
    try:
        rows = _decode_rows(value)
    except decoding.DECODE_ERRORS as error:
        raise exceptions.DepartureError(str(error)) from error
    return [
        directory.TargetRecord(
            target_id, born_ms, "", 0, directory.TargetState(state)
        )
        for target_id, born_ms, state in rows
    ]


def _decode_rows(value: bytes) -> list[_Row]:
    try:
        return _DECODER.decode(value)
    except msgspec.ValidationError:
        return [_SINGLE_DECODER.decode(value)]
