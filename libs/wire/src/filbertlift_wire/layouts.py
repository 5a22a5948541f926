"""Direct writing and reading of flat capnp headers.

pycapnp takes about 1 microsecond to set a field and 1.6 to read one, which
is over 100 a call at four conversions. A header without nested structures or
lists has one fixed part, whose layout is taken from the loaded schema, and
then the texts in turn. It is written as any capnp encoder would write it. A
header of another layout, for example from another wire version, is left to
pycapnp.
"""

from collections.abc import Callable
from collections.abc import Sequence
import operator
import struct
from typing import Any

import attrs

WORD = 8
# Segment table and root pointer, `Header` and its pointer to the message.
PREFIX = struct.Struct("<IIQHxxxxxxQ")
PREFIX_WORDS = 3  # without the segment table
TAG = struct.Struct("<H")
TAG_OFFSET = 16
# The root is a structure of one data word and one pointer, right after its
# pointer; see the capnp encoding specification.
ROOT_POINTER = (1 << 32) | (1 << 48)
# A pointer to bytes: kind 1 (list) in the two lowest bits, then the offset,
# element size 2 (byte) above 32 bits and the number of bytes above 35.
BYTE_LIST_POINTER = (2 << 32) | 1
# The bits that must have these values; offsets are not negative.
POINTER_MASK = (7 << 32) | (1 << 31) | 3
OFFSET_MASK = 0x7FFFFFFC
SIZE_SHIFT = 35
_NUMBER_FORMATS = {
    "uint8": ("B", 1),
    "uint16": ("H", 2),
    "uint32": ("I", 4),
    "uint64": ("Q", 8),
    "int64": ("q", 8),
}
_PADDING = tuple(bytes(-size % WORD) for size in range(WORD))


class LayoutError(ValueError):
    """A header whose pointers or values are not allowed."""


@attrs.frozen
class FlagByte:
    """A byte of the fixed part that holds booleans, by bit."""

    index: int
    names: tuple[str, ...]
    masks: tuple[int, ...]


@attrs.frozen
class Layout:
    """How the header of one kind of message is laid out.

    Attributes:
        tag: number of the kind in the union of `Header`.
        fixed: the whole fixed part, from the segment table on.
        pointer: pointer to the message's structure.
        numbers: names of the numbers, by position.
        flags: the byte of the booleans, if there is one.
        texts: names of the texts and data, in the order of their pointers.
        is_data: for each of them, whether it is data.
    """

    tag: int
    fixed: struct.Struct
    pointer: int
    numbers: tuple[str, ...]
    flags: FlagByte | None
    texts: tuple[str, ...]
    is_data: tuple[bool, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all values, in the order of `read`."""
        flags = self.flags.names if self.flags else ()
        return self.numbers + flags + self.texts


def make_layout(schema: Any, kind: str) -> Layout | None:
    """Returns the layout of a kind of message, None if it is not flat."""
    union = schema.Header.schema.node.struct
    tag = next(f.discriminantValue for f in union.fields if f.name == kind)
    node = schema.Header.schema.fields[kind].schema.node.struct
    numbers: list[tuple[int, str, str]] = []
    bits: list[tuple[int, str]] = []
    texts: list[tuple[int, str, bool]] = []
    for field in node.fields:
        type_name = str(field.slot.type.which())
        offset = field.slot.offset
        if type_name == "bool":
            bits.append((offset, field.name))
        elif type_name in ("text", "data"):
            texts.append((offset, field.name, type_name == "data"))
        elif type_name in _NUMBER_FORMATS:
            letter, size = _NUMBER_FORMATS[type_name]
            numbers.append((offset * size, letter, field.name))
        else:
            return None
    if len({bit // 8 for bit, _ in bits}) > 1:
        return None
    texts.sort()
    return _build_layout(tag, node.dataWordCount, sorted(numbers), bits, texts)


def _build_layout(
    tag: int,
    data_words: int,
    numbers: list[tuple[int, str, str]],
    bits: list[tuple[int, str]],
    texts: list[tuple[int, str, bool]],
) -> Layout:
    items = list(numbers)
    if bits:
        items = sorted([*items, (bits[0][0] // 8, "B", "")])
    text_format = PREFIX.format
    end = 0
    for offset, letter, _ in items:
        text_format += f"{offset - end}x{letter}"
        end = offset + struct.calcsize("<" + letter)
    text_format += f"{data_words * WORD - end}x{len(texts)}Q"
    flags = None
    if bits:
        flags = FlagByte(
            index=[name for _, _, name in items].index(""),
            names=tuple(name for _, name in bits),
            masks=tuple(1 << bit % 8 for bit, _ in bits),
        )
    return Layout(
        tag=tag,
        fixed=struct.Struct(text_format),
        pointer=(data_words << 32) | (len(texts) << 48),
        numbers=tuple(name for _, _, name in numbers),
        flags=flags,
        texts=tuple(name for _, name, _ in texts),
        is_data=tuple(is_data for _, _, is_data in texts),
    )


def make_writer(layout: Layout) -> Callable[[Sequence[Any]], bytes]:
    """Returns a function that writes the values in the order of `names`.

    It raises ValueError, TypeError or struct.error for a value that does not
    fit its field.
    """
    pack = layout.fixed.pack
    pointer = layout.pointer
    tag = layout.tag
    flags = layout.flags
    masks = flags.masks if flags else ()
    flag_index = flags.index if flags else 0
    number_count = len(layout.numbers)
    text_start = number_count + len(masks)
    text_count = len(layout.texts)
    fixed_words = layout.fixed.size // WORD - 1

    def write(values: Sequence[Any]) -> bytes:
        numbers = list(values[:number_count])
        if masks:
            byte = 0
            for mask, is_set in zip(
                masks, values[number_count:text_start], strict=True
            ):
                if is_set:
                    byte |= mask
            numbers.insert(flag_index, byte)
        pointers, parts, words = place_texts(values[text_start:], text_count)
        parts[0] = pack(
            0,
            fixed_words + words,
            ROOT_POINTER,
            tag,
            pointer,
            *numbers,
            *pointers,
        )
        return b"".join(parts)

    return write


def place_texts(
    texts: Sequence[str | bytes], count: int
) -> tuple[list[int], list[bytes], int]:
    """Returns the pointers, the parts of the content and its words.

    The first part is left free for the fixed part.
    """
    pointers = []
    parts = [b""]
    # Words from the end of the present pointer to the next free word.
    distance = count
    for text in texts:
        distance -= 1
        if not text:
            pointers.append(0)
            continue
        data = text.encode() + b"\0" if isinstance(text, str) else text
        size = len(data)
        pointers.append(distance << 2 | size << SIZE_SHIFT | BYTE_LIST_POINTER)
        distance += (size + 7) >> 3
        parts.append(data)
        parts.append(_PADDING[size & 7])
    return pointers, parts, distance


def make_reader(layout: Layout) -> Callable[[bytes], list[Any] | None]:
    """Returns a function that reads values in the order of `names`.

    It returns None for a header of another layout, and raises LayoutError or
    UnicodeDecodeError for a malformed one.
    """
    unpack = layout.fixed.unpack_from
    fixed_size = layout.fixed.size
    prefix = (ROOT_POINTER, layout.tag, layout.pointer)
    flags = layout.flags
    masks = flags.masks if flags else ()
    flag_index = 5 + (flags.index if flags else 0)
    number_end = 5 + len(layout.numbers) + (1 if flags else 0)
    # Position of the end of each pointer.
    first_pointer = fixed_size - WORD * len(layout.texts)
    ends = range(first_pointer + WORD, fixed_size + WORD, WORD)
    text_fields = tuple(zip(ends, layout.is_data, strict=True))

    def read(header: bytes) -> list[Any] | None:
        length = len(header)
        if length < fixed_size:
            return None
        values = unpack(header)
        # A second segment or another size of a structure is for pycapnp.
        if values[0] != 0 or values[2:5] != prefix:
            return None
        if values[1] * WORD + WORD > length:
            raise LayoutError("segment is longer than the header")
        found = list(values[5:number_end])
        if masks:
            byte = found.pop(flag_index - 5)
            found += [byte & mask != 0 for mask in masks]
        read_texts(header, values[number_end:], text_fields, found)
        return found

    return read


def read_texts(
    header: bytes,
    pointers: Sequence[int],
    fields: Sequence[tuple[int, bool]],
    found: list[Any],
) -> None:
    """Appends the texts and data that the pointers refer to.

    Args:
        header: the whole header.
        pointers: pointers to lists of bytes, or 0.
        fields: for each pointer the position of its end, and whether it
            refers to data.
        found: where to append.

    Raises:
        LayoutError: if a pointer is malformed or leads out of the header.
        UnicodeDecodeError: if a text is not UTF-8.
    """
    for pointer, (end, is_data) in zip(pointers, fields, strict=True):
        if not pointer:
            found.append(b"" if is_data else "")
            continue
        if pointer & POINTER_MASK != BYTE_LIST_POINTER:
            raise LayoutError("pointer is not to bytes that follow")
        # The offset is in words and stands above the two bits of the kind,
        # so that this is 8 times the offset.
        start = end + ((pointer & OFFSET_MASK) << 1)
        stop = start + (pointer >> SIZE_SHIFT)
        if stop > len(header):
            raise LayoutError("bytes are beyond the header")
        if is_data:
            found.append(header[start:stop])
            continue
        if stop == start or header[stop - 1]:
            raise LayoutError("text does not end in a zero byte")
        found.append(header[start : stop - 1].decode())


def read_tag(header: bytes) -> int:
    """Returns the number of the kind, 0 if the header is too short."""
    if len(header) < PREFIX.size:
        return 0
    return TAG.unpack_from(header, TAG_OFFSET)[0]


def make_getter(names: Sequence[str]) -> Callable[[Any], Sequence[Any]]:
    """Returns a function that reads the attributes into a sequence."""
    get = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda record: (get(record),)
    return get


def make_reorder(wanted: Sequence[int]) -> Callable[[Any], Sequence[Any]]:
    """Returns a function that picks the items at the wanted positions."""
    pick = operator.itemgetter(*wanted)
    if len(wanted) == 1:
        return lambda values: (pick(values),)
    return pick
