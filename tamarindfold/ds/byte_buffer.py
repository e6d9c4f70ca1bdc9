"""Bytes that come in pieces, kept joined: many small objects take many times their size."""

from __future__ import annotations


class ByteBuffer:
    """Joins pieces as they come; one that comes whole is not copied."""

    __slots__ = ("_data",)

    def __init__(self) -> None:
        self._data: bytes | bytearray = b""

    def __len__(self) -> int:
        return len(self._data)

    def add(self, piece: bytes) -> None:
        """Append a piece."""
        if not self._data:
            self._data = piece
            return
        if isinstance(self._data, bytes):
            self._data = bytearray(self._data)
        self._data += piece

    def take(self) -> bytes:
        """All bytes; the buffer is empty afterwards."""
        data, self._data = self._data, b""
        return data if isinstance(data, bytes) else bytes(data)

    def peek(self) -> bytes:
        """All bytes, which stay in the buffer."""
        return self._data if isinstance(self._data, bytes) else bytes(self._data)
