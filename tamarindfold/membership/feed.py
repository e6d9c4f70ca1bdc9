"""The server list as published by the feed: a full list first, then changes, each one version later.

Messages are JSON objects, one per line: {"kind": "full" or "changes", "version": n, "servers": [...]}.
This module does no I/O. After a gap in the versions only a new full list is accepted.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from tamarindfold.config.addresses import split_address
from tamarindfold.config.derive import backend_id
from tamarindfold.interface import BackendEntry, BackendState, FleetUpdate, ListKind

_STATES = {"ready": BackendState.READY, "draining": BackendState.DRAINING, "gone": BackendState.GONE}
_UInt16 = Annotated[int, Meta(ge=0, le=65535)]


class ServerLine(Struct, frozen=True):
    """One server; up_since_ms is its start in milliseconds since the epoch, 0 if it is long ago."""

    address: str
    state: Literal["ready", "draining", "gone"] = "ready"
    zone: _UInt16 = 0
    cell: _UInt16 = 0
    kind: _UInt16 = 0
    size: Annotated[float, Meta(ge=0)] = 1.0
    up_since_ms: Annotated[float, Meta(ge=0)] = 0.0


class FeedMessage(Struct, frozen=True):
    """One line of the feed."""

    kind: Literal["full", "changes"]
    version: Annotated[int, Meta(ge=0)]
    servers: list[ServerLine]


class FeedGap(ValueError):
    """A change whose version does not follow the current one: a full list is needed."""


class ServerList:
    """One gateway's copy of the list, by address; version -1 means that a full list is needed next."""

    def __init__(self) -> None:
        self.version = -1
        self.lines: dict[str, ServerLine] = {}
        self._decoder = msgspec.json.Decoder(FeedMessage)

    def apply(self, line: bytes) -> FleetUpdate:
        """Apply one line of the feed; on a ValueError (which includes FeedGap) the list is unchanged."""
        try:
            message = self._decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"feed: {error}") from None
        entries = [self._entry(server) for server in message.servers]
        full = message.kind == "full"
        if not full and message.version != self.version + 1:
            raise FeedGap(f"feed: changes of version {message.version} received at version {self.version}")
        if full:
            self.lines = {}
        for server in message.servers:
            if server.state == "gone":
                self.lines.pop(server.address, None)
            else:
                self.lines[server.address] = server
        self.version = message.version
        return FleetUpdate(ListKind.FULL if full else ListKind.CHANGES, entries, message.version)

    def encode(self) -> bytes:
        """The list as one line of the feed, to be saved for a restart."""
        return msgspec.json.encode(FeedMessage("full", max(0, self.version), list(self.lines.values())))

    def restore(self, line: bytes) -> FleetUpdate:
        """Load a saved line as a cached list; the feed must still send a full list first."""
        update = self.apply(line)
        self.version = -1
        return FleetUpdate(
            ListKind.CACHED,
            [entry for entry in update.entries if entry.state is not BackendState.GONE],
            update.version,
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
