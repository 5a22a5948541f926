"""Encoding of configurations between nodes, as whole values or deltas."""

from collections import OrderedDict
from typing import Final
import zlib

import attrs
import msgspec

from filbertlift_core import decoding
from filbertlift_mesh import deltas
from filbertlift_mesh import exceptions as mesh_exceptions
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import frames

# Versions kept as bases of deltas. During a storm of changes a peer lags by a
# few versions. Each takes as much memory as the value in the store, up to 1 MB.
KEPT_VERSIONS: Final = 4
# Limit for a decompressed value, in bytes; no value in the store exceeds it.
MAX_VALUE_BYTES: Final = 2_000_000

_Steps = list[bytes | tuple[int, int]]
_DECODER: Final = msgspec.msgpack.Decoder(tuple[bytes, _Steps])


@attrs.define(eq=False)
class RecentVersions:
    """The last versions in force on this host, to be sent to peers.

    Attributes:
        version: number of the newest version, -1 before the first.
    """

    version: int = -1
    _values: OrderedDict[int, bytes] = attrs.field(factory=OrderedDict)
    # Replies by the version of the requester. Many peers ask a watcher at once,
    # most of them with the same version in force.
    _replies: dict[int, frames.ConfigurationReply] = attrs.field(factory=dict)

    @property
    def value(self) -> bytes:
        """The newest version as it is in the store."""
        return self._values.get(self.version, b"")

    def add(self, version: int, value: bytes) -> None:
        """Adds a version that was put in force."""
        self._values[version] = value
        self.version = version
        self._replies.clear()
        while len(self._values) > KEPT_VERSIONS:
            self._values.popitem(last=False)

    def make_reply(self, after_version: int) -> frames.ConfigurationReply:
        """Returns a reply with the newest version, as a delta if possible."""
        base_version = after_version if after_version in self._values else -1
        reply = self._replies.get(base_version)
        if reply is None:
            reply = self._encode_reply(base_version)
            self._replies[base_version] = reply
        return reply

    def _encode_reply(self, base_version: int) -> frames.ConfigurationReply:
        if base_version < 0:
            data = zlib.compress(self.value)
            return frames.ConfigurationReply(self.version, data)
        delta = deltas.make_delta(self._values[base_version], self.value)
        data = zlib.compress(
            msgspec.msgpack.encode((delta.digest, delta.steps))
        )
        return frames.ConfigurationReply(self.version, data, base_version)

    def read_reply(self, reply: frames.ConfigurationReply) -> bytes:
        """Returns the value of the version that a peer sent.

        Raises:
            HandoverError: if the reply is malformed or its base is not kept.
        """
        try:
            data = decompress_value(reply.value)
            if reply.base_version < 0:
                return data
            digest, steps = _DECODER.decode(data)
            base = self._values.get(reply.base_version, b"")
            delta = deltas.Delta(digest, tuple(steps))
            return deltas.apply_delta(base, delta, MAX_VALUE_BYTES)
        except (
            zlib.error,
            *decoding.DECODE_ERRORS,
            mesh_exceptions.DeltaError,
        ) as error:
            raise exceptions.HandoverError(str(error)) from error


def decompress_value(data: bytes) -> bytes:
    """Returns a decompressed value.

    Raises:
        zlib.error: if the data is malformed or the value too long.
    """
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(data, MAX_VALUE_BYTES)
    if decompressor.unconsumed_tail:
        raise zlib.error(f"more than {MAX_VALUE_BYTES} bytes")
    return value
