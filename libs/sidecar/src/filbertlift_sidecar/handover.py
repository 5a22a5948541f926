"""Configurations handed from node to node: whole, or as a difference."""

from collections import OrderedDict
from typing import Final
import zlib

import attrs
import msgspec

from filbertlift_mesh import deltas
from filbertlift_mesh import exceptions as mesh_exceptions
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import frames

# Versions that are kept to make differences from; in a storm a peer lags by
# a few. Each takes as much memory as the store's value, up to a megabyte.
KEPT_VERSIONS: Final = 4
# The store holds no longer values, in bytes.
MAX_VALUE_BYTES: Final = 2_000_000

_Steps = list[bytes | tuple[int, int]]
_DECODER: Final = msgspec.msgpack.Decoder(tuple[bytes, _Steps])


@attrs.define(eq=False)
class Shelf:
    """The last versions in force here, for peers.

    Attributes:
        version: number of the newest one, -1 before the first.
    """

    version: int = -1
    _values: OrderedDict[int, bytes] = attrs.field(factory=OrderedDict)
    _packed: bytes = b""

    @property
    def value(self) -> bytes:
        """The bytes of the newest version, as the store holds them."""
        return self._values.get(self.version, b"")

    def add(self, version: int, value: bytes) -> None:
        """Keeps a version that was put in force."""
        self._values[version] = value
        self.version = version
        self._packed = b""
        while len(self._values) > KEPT_VERSIONS:
            self._values.popitem(last=False)

    def make_reply(self, after_version: int) -> frames.ConfigurationReply:
        """Returns the newest version for a peer that has an older one."""
        base = self._values.get(after_version)
        if base is None:
            return frames.ConfigurationReply(self.version, self._pack())
        delta = deltas.make_delta(base, self.value)
        data = zlib.compress(
            msgspec.msgpack.encode((delta.digest, delta.steps))
        )
        return frames.ConfigurationReply(self.version, data, after_version)

    def read_reply(self, reply: frames.ConfigurationReply) -> bytes:
        """Returns the bytes of the version that a peer handed over.

        Raises:
            HandoverError: if they cannot be read, or the base is not here.
        """
        try:
            data = unpack_value(reply.value)
            if reply.base_version < 0:
                return data
            digest, steps = _DECODER.decode(data)
            base = self._values.get(reply.base_version, b"")
            return deltas.apply_delta(base, deltas.Delta(digest, tuple(steps)))
        except (
            zlib.error,
            msgspec.MsgspecError,
            mesh_exceptions.DeltaError,
        ) as error:
            raise exceptions.HandoverError(str(error)) from error

    def _pack(self) -> bytes:
        if not self._packed:
            self._packed = zlib.compress(self.value)
        return self._packed


def unpack_value(data: bytes) -> bytes:
    """Returns the bytes that a peer compressed; raises zlib.error."""
    unpacker = zlib.decompressobj()
    value = unpacker.decompress(data, MAX_VALUE_BYTES)
    if unpacker.unconsumed_tail:
        raise zlib.error(f"more than {MAX_VALUE_BYTES} bytes")
    return value
