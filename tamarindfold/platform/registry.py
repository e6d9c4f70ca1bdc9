"""The platform's registry of backends: parses its lines, maps ids to numbers and addresses; no I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from _blake2 import blake2b  # hashlib would load OpenSSL, an eighth of the memory at rest
from typing import Annotated

import httptools
import msgspec
from msgspec import Meta, Struct

from tamarindfold.config.addresses import split_address
from tamarindfold.ds.byte_buffer import ByteBuffer
from tamarindfold.http1.parser_callbacks import ParserCallbacks
from tamarindfold.interface import BackendEntry, BackendState, FleetUpdate, ListKind

MAX_OBJECT_BYTES = 4 << 20
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}


class _Instance(Struct, frozen=True):
    """One backend; startedAtMs is in milliseconds since the epoch, 0 if it is long ago."""

    instanceId: Annotated[str, Meta(min_length=1, max_length=256)]
    hostPort: str = ""
    zone: str | int = ""
    machineType: str | int = ""
    cell: Annotated[int, Meta(ge=0)] = 0
    lifecycle: str = "active"
    weight: Annotated[float, Meta(ge=0)] = 1.0
    startedAtMs: Annotated[float, Meta(ge=0)] = 0.0


class _Line(Struct, frozen=True):
    """The whole list (reset), or the changes since the previous line."""

    generation: int
    instances: list[_Instance]
    reset: bool = False


def _position(names: tuple[str, ...], value: str | int) -> int:
    """The index of a name in the settings; an unknown name gets the index after the last one."""
    if isinstance(value, int):
        return value
    return names.index(value) if value in names else len(names)


class BackendDirectory:
    """The backends of the registry by number; an id has the same number at every ingress.

    An address belongs to one process at a time: the one that started last. An id that is still listed at an
    address which has passed to a later process is gone.
    """

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones, self.kinds, self.generation = zones, kinds, 0
        self.numbers: dict[str, int] = {}
        self.entries: dict[int, tuple[str, tuple[str, int], float]] = {}  # id, address, start time
        self.holders: dict[tuple[str, int], int] = {}  # number of the backend at each address
        self._decoder = msgspec.json.Decoder(_Line)

    def address(self, number: int) -> tuple[str, int] | None:
        """The address of a backend; None if it is not in the directory."""
        known = self.entries.get(number)
        return known[1] if known is not None else None

    def apply(self, line: bytes, kind: ListKind = ListKind.FULL) -> tuple[FleetUpdate, list[int]]:
        """Apply one line of the registry.

        Returns the update and the numbers of backends that left, moved or restarted, whose connections are
        to be closed. `kind` is the update's kind if the line holds the whole list. On a ValueError the
        directory is unchanged.
        """
        try:
            message = self._decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"registry: {error}") from None
        parsed = [
            (
                instance,
                _STATES.get(instance.lifecycle, BackendState.DRAINING),
                split_address(instance.hostPort, "registry: hostPort")
                if instance.lifecycle != "left"
                else ("", 0),
            )
            for instance in message.instances
        ]
        entries: list[BackendEntry] = []
        moved: list[int] = []
        if message.reset:
            listed = {instance.instanceId for instance, *_ in parsed}
            moved += [self._remove(name) for name in [n for n in self.numbers if n not in listed]]
        for instance, state, address in parsed:
            if state is BackendState.GONE or self._is_superseded(instance, address):
                if instance.instanceId in self.numbers:
                    moved.append(self._remove(instance.instanceId))
                    entries.append(self._entry(moved[-1], BackendState.GONE, instance))
                continue
            number = self._number(instance.instanceId)
            former = self.holders.get(address, number)
            if former != number and self.entries[former][2] < instance.startedAtMs:
                moved.append(self._remove(self.entries[former][0]))
                entries.append(BackendEntry(former, BackendState.GONE))
            if self._set(number, (instance.instanceId, address, instance.startedAtMs)):
                moved.append(number)
            entries.append(self._entry(number, state, instance))
        self.generation = message.generation
        return FleetUpdate(kind if message.reset else ListKind.CHANGES, entries, message.generation), moved

    def _is_superseded(self, instance: _Instance, address: tuple[str, int]) -> bool:
        """Whether another process that started later is at the address of this one."""
        holder = self.holders.get(address)
        if holder is None or holder == self.numbers.get(instance.instanceId):
            return False
        return self.entries[holder][2] > instance.startedAtMs

    def _entry(self, number: int, state: BackendState, instance: _Instance) -> BackendEntry:
        return BackendEntry(
            number,
            state,
            _position(self.zones, instance.zone),
            _position(self.kinds, instance.machineType),
            instance.cell,
            instance.weight,
            instance.startedAtMs,
        )

    def _set(self, number: int, current: tuple[str, tuple[str, int], float]) -> bool:
        """Record a backend; whether it was known with another address or start."""
        former = self.entries.get(number, current)
        if self.holders.get(former[1]) == number:
            del self.holders[former[1]]
        self.entries[number] = current
        self.holders[current[1]] = number
        return former != current

    def _number(self, name: str) -> int:
        """The number of an id: a hash of it or, if another id has that number already, the next free one."""
        number = self.numbers.get(name)
        if number is None:
            number = int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")
            while number in self.entries:
                number += 1
            self.numbers[name] = number
        return number

    def _remove(self, name: str) -> int:
        number = self.numbers.pop(name)
        if (entry := self.entries.pop(number, None)) is not None and self.holders.get(entry[1]) == number:
            del self.holders[entry[1]]
        return number


class WatchReader:
    """Splits the response to a watch request into JSON objects; empty lines between them are heartbeats.

    An object may be on one line or be indented over several: it is complete when its brackets are closed.
    `heartbeats` counts complete objects and empty lines; bytes that complete neither don't count.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(ParserCallbacks(self))
        self._line_start = ByteBuffer()  # of a line that has not ended
        self._object = ByteBuffer()  # the lines of an object that is not complete
        self._size = 0  # bytes since the last complete object
        self._depth = 0  # open brackets
        self.heartbeats = 0
        self._objects: list[bytes] = []
        self.ended = False

    def feed(self, data: bytes) -> Iterable[bytes]:
        """Add bytes and return the objects they complete; ValueError if the response is invalid."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ValueError(f"registry: {error}") from None
        if self._size > MAX_OBJECT_BYTES:
            raise ValueError(f"registry: no object ends within {MAX_OBJECT_BYTES} bytes")
        objects, self._objects = self._objects, []
        return objects

    def _line(self, line: bytes) -> None:
        if not line.strip():
            self.heartbeats += not len(self._object)
            return
        without_strings = _STRING.sub(b"", line)
        self._depth += sum(map(without_strings.count, b"{[")) - sum(map(without_strings.count, b"}]"))
        if len(self._object):
            self._object.add(b"\n")
        self._object.add(line)
        if self._depth <= 0:
            self._objects.append(self._object.take())
            self._size = self._depth = 0
            self.heartbeats += 1

    # ---- callbacks of the parser

    def on_message_begin(self) -> None:
        pass

    def on_header(self, name: bytes, value: bytes) -> None:
        pass

    def on_headers_complete(self) -> None:
        if (status := self._parser.get_status_code()) != 200:
            raise ValueError(f"registry: the watch was answered with status {status}")

    def on_body(self, part: bytes) -> None:
        self._size += len(part)
        *ends, rest = part.split(b"\n")
        for end in ends:
            self._line_start.add(end)
            self._line(self._line_start.take())
        self._line_start.add(rest)

    def on_message_complete(self) -> None:
        if (rest := self._line_start.take()).strip():
            self._line(rest)
        self.ended = True
