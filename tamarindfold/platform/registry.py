"""The platform's list of backends: lines to what the module is told, ids to numbers and addresses; no I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from hashlib import blake2b
from typing import Annotated

import httptools
import msgspec
from msgspec import Meta, Struct

from tamarindfold.config.addresses import split_address
from tamarindfold.interface import BackendEntry, BackendState, FleetUpdate, ListKind

LINE_BYTES = 4 << 20
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}


class _Instance(Struct, frozen=True):
    """One entry; times in milliseconds since the epoch, 0 for long ago."""

    instanceId: Annotated[str, Meta(min_length=1, max_length=256)]
    hostPort: str = ""
    zone: str | int = ""
    machineType: str | int = ""
    cell: Annotated[int, Meta(ge=0)] = 0
    lifecycle: str = "active"
    weight: Annotated[float, Meta(ge=0)] = 1.0
    startedAtMs: Annotated[float, Meta(ge=0)] = 0.0


class _Line(Struct, frozen=True):
    """The whole list, or what changed since the line before."""

    generation: int
    instances: list[_Instance]
    reset: bool = False


def _place(names: tuple[str, ...], value: str | int) -> int:
    """The place of a name in the settings; one that they don't have stands behind them all."""
    if isinstance(value, int):
        return value
    return names.index(value) if value in names else len(names)


class AddressBook:
    """The backends by their numbers: the same number for an id at every ingress."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones, self.kinds, self.generation = zones, kinds, 0
        self.numbers: dict[str, int] = {}
        self.entries: dict[int, tuple[str, tuple[str, int], float]] = {}  # id, address, start
        self._decoder = msgspec.json.Decoder(_Line)

    def address(self, number: int) -> tuple[str, int] | None:
        """Where a backend is reached."""
        known = self.entries.get(number)
        return known[1] if known is not None else None

    def take(self, line: bytes, kind: ListKind = ListKind.FULL) -> tuple[FleetUpdate, list[int]]:
        """What a line says, and the numbers that are not reached any more where they were; ValueError leaves
        the book as it was. kind: how a whole list counts."""
        try:
            told = self._decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"registry: {error}") from None
        read = [
            (
                one,
                _STATES.get(one.lifecycle, BackendState.DRAINING),
                split_address(one.hostPort, "registry: hostPort") if one.lifecycle != "left" else ("", 0),
            )
            for one in told.instances
        ]
        entries, moved = [], []
        if told.reset:
            named = {one.instanceId for one, *_ in read}
            moved += [self._forget(name) for name in [n for n in self.numbers if n not in named]]
        for one, state, address in read:
            if state is BackendState.GONE and one.instanceId not in self.numbers:
                continue  # nothing is known of it
            number = self._number(one.instanceId)
            now = (one.instanceId, address, one.startedAtMs)
            if self.entries.get(number, now) != now and state is not BackendState.GONE:
                moved.append(number)
            self.entries[number] = now
            if state is BackendState.GONE:
                moved.append(self._forget(one.instanceId))
            entries.append(
                BackendEntry(
                    number,
                    state,
                    _place(self.zones, one.zone),
                    _place(self.kinds, one.machineType),
                    one.cell,
                    one.weight,
                    one.startedAtMs,
                )
            )
        self.generation = told.generation
        return FleetUpdate(kind if told.reset else ListKind.CHANGES, entries, told.generation), moved

    def _number(self, name: str) -> int:
        """A stable hash of the id; should two meet, the later one takes the next number."""
        number = self.numbers.get(name)
        if number is None:
            number = int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")
            while number in self.entries:
                number += 1
            self.numbers[name] = number
        return number

    def _forget(self, name: str) -> int:
        number = self.numbers.pop(name)
        self.entries.pop(number, None)
        return number


class WatchReader:
    """The objects of a watch from the bytes of its answer; an empty line between them is only a sign of life.

    An object may stand on one line or, indented, on several: it is whole where its brackets are closed.
    `signs` counts whole objects and empty lines: bytes that come to neither are no sign of life.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._pieces: list[bytes] = []  # of a line that has not ended
        self._begun: list[bytes] = []  # the lines of an object that is not whole yet
        self._size = self._depth = self.signs = 0  # bytes since an object was whole; open brackets; signs
        self._lines: list[bytes] = []
        self.ended = False

    def feed(self, data: bytes) -> Iterable[bytes]:
        """The objects that are whole now; ValueError where the answer is no watch."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ValueError(f"registry: {error}") from None
        if self._size > LINE_BYTES:
            raise ValueError("registry: an object without an end")
        lines, self._lines = self._lines, []
        return lines

    def _line(self, line: bytes) -> None:
        if not line.strip():
            self.signs += not self._begun
            return
        bare = _STRING.sub(b"", line)
        self._depth += sum(map(bare.count, b"{[")) - sum(map(bare.count, b"}]"))
        self._begun.append(line)
        if self._depth <= 0:
            self._lines.append(b"\n".join(self._begun))
            self._begun, self._size, self._depth = [], 0, 0
            self.signs += 1

    # ---- called by the parser

    def on_headers_complete(self) -> None:
        if (status := self._parser.get_status_code()) != 200:
            raise ValueError(f"registry: status {status}")

    def on_body(self, part: bytes) -> None:
        self._size += len(part)
        if b"\n" not in part:  # pieces of a line are joined once, when it ends
            self._pieces.append(part)
            return
        *lines, rest = b"".join((*self._pieces, part)).split(b"\n")
        self._pieces = [rest]
        for line in lines:
            self._line(line)

    def on_message_complete(self) -> None:
        if (rest := b"".join(self._pieces)).strip():
            self._line(rest)
        self._pieces = []
        self.ended = True
