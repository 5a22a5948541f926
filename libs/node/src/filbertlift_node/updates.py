"""Encoding of updates: a compressed delta, split into frames."""

from collections import OrderedDict
from collections.abc import Iterator
import zlib

import attrs

from filbertlift_config import delta as deltas
from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import snapshot as snapshots
from filbertlift_wire import messages

# Bytes of an update in one frame; the body of a frame is limited to 256 KB.
PART_BYTES = 200_000
# Number of versions kept as bases of deltas. Versions share the sections that
# did not change.
KEPT_SNAPSHOTS = 64


@attrs.define
class SnapshotCache:
    """Recent versions, which are the bases of deltas for peers."""

    _snapshots: OrderedDict[int, snapshots.Snapshot] = attrs.field(
        factory=OrderedDict
    )
    _encoded: dict[tuple[int, int], list[messages.Update]] = attrs.field(
        factory=dict
    )

    def add(self, snapshot: snapshots.Snapshot) -> None:
        """Adds a version and removes the oldest one if the cache is full."""
        if snapshot.version in self._snapshots:
            return
        self._snapshots[snapshot.version] = snapshot
        self._encoded.clear()
        if len(self._snapshots) > KEPT_SNAPSHOTS:
            self._snapshots.popitem(last=False)

    def get(self, version: int) -> snapshots.Snapshot | None:
        """Returns a kept version, or the empty snapshot for version 0."""
        if version == 0:
            return snapshots.Snapshot.empty()
        return self._snapshots.get(version)

    def list_parts(
        self, base_version: int, snapshot: snapshots.Snapshot
    ) -> list[messages.Update]:
        """Returns the parts of the delta from a base to a version.

        The delta is made from the empty snapshot if the base is not kept. The
        parts are cached, because several neighbours request the same update.
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
    """Assembles the parts of an update from one peer."""

    _data: bytearray = attrs.field(factory=bytearray)

    def receive(self, part: messages.Update) -> deltas.Delta | None:
        """Adds a part; returns the delta when it is complete.

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
    """Returns the decompressed bytes of a delta.

    Raises:
        SnapshotError: if the data is malformed, truncated or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, deltas.MAX_DELTA_BYTES)
    except zlib.error as error:
        raise config_exceptions.SnapshotError(
            f"an update is malformed: {error}"
        ) from error
    if not decompressor.eof:
        raise config_exceptions.SnapshotError(
            "an update is truncated or too large"
        )
    return decompressed
