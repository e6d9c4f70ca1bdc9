"""A read-only hash table in flat arrays: row numbers by 64-bit key, without an object per row.

Open addressing with linear probing; the index holds row numbers. The columns are plain bytes as received over
the network, so a table of a million rows is usable without further decoding. Keys are random bits or hashes
and are used as hash values directly. A table is rebuilt rather than changed; callers keep later changes
elsewhere.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable

EMPTY = 0xFFFFFFFF


def build_columns(keys: Iterable[int]) -> tuple[bytes, bytes]:
    """The key column and the index over it; ValueError if a key occurs twice."""
    key_column = array("Q", keys)
    size = 8
    while size * 2 < len(key_column) * 3:  # load factor of at most two thirds
        size *= 2
    index = array("I", bytes(b"\xff" * 4 * size))
    mask = size - 1
    for row, key in enumerate(key_column):
        slot = key & mask
        while index[slot] != EMPTY:
            if key_column[index[slot]] == key:
                raise ValueError(f"key {key:#x} occurs twice")
            slot = (slot + 1) & mask
        index[slot] = row
    return key_column.tobytes(), index.tobytes()


def column_view(data: bytes, code: str) -> memoryview:
    """View bytes as numbers of an `array` type code, without a copy; ValueError if the size does not fit."""
    if not data:  # an empty view cannot be cast
        return memoryview(array(code))
    try:
        return memoryview(data).cast(code)  # type: ignore[call-overload, no-any-return]
    except TypeError as error:
        raise ValueError(str(error)) from None


class KeyTable:
    """Row numbers by key."""

    __slots__ = ("index", "keys", "mask")

    def __init__(self, keys: bytes, index: bytes) -> None:
        """ValueError if the index cannot belong to these keys."""
        self.keys = column_view(keys, "Q")
        self.index = column_view(index, "I")
        size = len(self.index)
        if size < 8 or size & (size - 1) or len(self.keys) >= size:
            raise ValueError("index size is not a power of two, or too small for its keys")
        self.mask = size - 1

    def find(self, key: int) -> int:
        """The row of a key, or -1 if it has none."""
        index, keys, mask = self.index, self.keys, self.mask
        slot = key & mask
        while (row := index[slot]) != EMPTY:
            if keys[row] == key:
                return row
            slot = (slot + 1) & mask
        return -1

    def __len__(self) -> int:
        return len(self.keys)
