"""The list of servers as a feed pushes it: a full list first, then changes, each one version on.

Messages are JSON objects, one a line: {"kind": "full" or "changes", "version": n, "servers": [...]}.
No I/O here; a gap in the versions is an error that only a new full list mends.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from tamarindfold.config.addresses import split_address
from tamarindfold.config.derive import backend_id
from tamarindfold.interface import BackendEntry, BackendState, FleetUpdate, ListKind

_STATES = {"ready": BackendState.READY, "draining": BackendState.DRAINING, "gone": BackendState.GONE}
_Small = Annotated[int, Meta(ge=0, le=65535)]


class ServerLine(Struct, frozen=True):
    """One server; up_since_ms in milliseconds since the epoch, 0 for long ago."""

    address: str
    state: Literal["ready", "draining", "gone"] = "ready"
    zone: _Small = 0
    cell: _Small = 0
    kind: _Small = 0
    size: Annotated[float, Meta(ge=0)] = 1.0
    up_since_ms: Annotated[float, Meta(ge=0)] = 0.0


class FeedMessage(Struct, frozen=True):
    """One line of the feed."""

    kind: Literal["full", "changes"]
    version: Annotated[int, Meta(ge=0)]
    servers: list[ServerLine]


class FeedGap(ValueError):
    """A message that doesn't follow on what is held: the full list is needed."""


class FleetList:
    """The list held by one gateway."""

    def __init__(self) -> None:
        self.version = -1
        self.lines: dict[str, ServerLine] = {}
        self._decoder = msgspec.json.Decoder(FeedMessage)

    def take(self, line: bytes) -> FleetUpdate:
        """Apply one line of the feed; ValueError (FeedGap among it) leaves the list as it was."""
        try:
            message = self._decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"feed: {error}") from None
        entries = [self._entry(server) for server in message.servers]
        full = message.kind == "full"
        if not full and message.version != self.version + 1:
            raise FeedGap(f"feed: version {message.version} after {self.version}")
        if full:
            self.lines = {}
        for server in message.servers:
            if server.state == "gone":
                self.lines.pop(server.address, None)
            else:
                self.lines[server.address] = server
        self.version = message.version
        return FleetUpdate(ListKind.FULL if full else ListKind.CHANGES, entries, message.version)

    def saved(self) -> bytes:
        """The list as one line, for a restart."""
        return msgspec.json.encode(FeedMessage("full", max(0, self.version), list(self.lines.values())))

    def restore(self, line: bytes) -> FleetUpdate:
        """What was saved, as a cached list; the feed must still send a full one first."""
        update = self.take(line)
        self.version = -1
        return FleetUpdate(
            ListKind.CACHED, [e for e in update.entries if e.state is not BackendState.GONE], update.version
        )

    @staticmethod
    def _entry(server: ServerLine) -> BackendEntry:
        backend = backend_id(*split_address(server.address, "feed: address"))
        return BackendEntry(
            backend,
            _STATES[server.state],
            server.zone,
            server.kind,
            server.cell,
            server.size,
            server.up_since_ms,
        )
