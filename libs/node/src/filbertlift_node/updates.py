"""Updates of the configuration as frames: parts of a compressed delta."""

from collections import OrderedDict
from collections.abc import Iterator
import zlib

import attrs

from filbertlift_config import delta as deltas
from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import snapshot as snapshots
from filbertlift_wire import messages

# Bytes in one frame; the limit of a frame's body is 256 KB.
PART_BYTES = 200_000
# Versions kept as bases for deltas; they share what did not change.
KEPT_SNAPSHOTS = 64


@attrs.define
class SnapshotCache:
    """Recent versions, from which deltas for peers are made."""

    _snapshots: OrderedDict[int, snapshots.Snapshot] = attrs.field(
        factory=OrderedDict
    )
    _encoded: dict[tuple[int, int], list[messages.Update]] = attrs.field(
        factory=dict
    )

    def add(self, snapshot: snapshots.Snapshot) -> None:
        """Keeps a version and forgets the oldest one above the limit."""
        if snapshot.version in self._snapshots:
            return
        self._snapshots[snapshot.version] = snapshot
        self._encoded.clear()
        if len(self._snapshots) > KEPT_SNAPSHOTS:
            self._snapshots.popitem(last=False)

    def get(self, version: int) -> snapshots.Snapshot | None:
        """Returns a kept version, or the empty one for 0."""
        if version == 0:
            return snapshots.Snapshot.empty()
        return self._snapshots.get(version)

    def list_parts(
        self, base_version: int, snapshot: snapshots.Snapshot
    ) -> list[messages.Update]:
        """Returns the frames that lead from a base to a version.

        The whole version is sent when the base is not kept any more. Several
        neighbours ask for the same update, so its frames are kept.
        """
        key = (base_version, snapshot.version)
        if key not in self._encoded:
            base = self.get(base_version) or snapshots.Snapshot.empty()
            self._encoded[key] = list(_make_parts(base, snapshot))
        return self._encoded[key]


def _make_parts(
    base: snapshots.Snapshot, snapshot: snapshots.Snapshot
) -> Iterator[messages.Update]:
    data = zlib.compress(deltas.encode_delta(deltas.make_delta(base, snapshot)))
    for start in range(0, len(data), PART_BYTES):
        yield messages.Update(
            base_version=base.version,
            last=start + PART_BYTES >= len(data),
            body=data[start : start + PART_BYTES],
        )


@attrs.define
class UpdateReader:
    """Joins the parts of one update from one peer."""

    _data: bytearray = attrs.field(factory=bytearray)

    def receive(self, part: messages.Update) -> deltas.Delta | None:
        """Takes a part; returns the delta once it is complete.

        Raises:
            ConfigError: if the parts are too large or malformed.
        """
        if len(self._data) + len(part.body) > deltas.MAX_DELTA_BYTES:
            self._data.clear()
            raise config_exceptions.SnapshotError("an update is too large")
        self._data += part.body
        if not part.last:
            return None
        data = bytes(self._data)
        self._data.clear()
        return deltas.decode_delta(decompress(data))


def decompress(data: bytes) -> bytes:
    """Returns the bytes of a compressed delta.

    Raises:
        SnapshotError: if they are malformed or over the limit.
    """
    reader = zlib.decompressobj()
    try:
        found = reader.decompress(data, deltas.MAX_DELTA_BYTES)
    except zlib.error as error:
        raise config_exceptions.SnapshotError(
            f"an update is malformed: {error}"
        ) from error
    if not reader.eof:
        raise config_exceptions.SnapshotError(
            "an update is cut short or too large"
        )
    return found
