"""Serves the store to followers: long poll for updates, reports of use.

Writers commit to the store's file by themselves; this process sees the commit and tells it on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import gevent
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Request, RequestReader
from tamarindfold.http1.serve import serve
from tamarindfold.identity.store import Store, StoreError
from tamarindfold.identity.wire import Unchanged
from tamarindfold.identity.wire import write as envelope
from tamarindfold.ingress.clock import SteadyClock

LOOK_EVERY_S = 0.02
MOST_WAIT_MS = 60_000.0
KEPT_ENVELOPES = 64  # one for each version that followers come from
BODY_BYTES = 8 << 20

Use = tuple[int, str, float, float, int]


class Registry:
    """One registry over one store."""

    def __init__(
        self, store: Store, key: Ed25519PrivateKey, host: str, port: int, log: Callable[..., None]
    ) -> None:
        self.store, self.key, self.log = store, key, log
        self.clock = SteadyClock().now
        self.server = StreamServer((host, port), self._serve, backlog=1024)
        self.changed = Event()
        self.sockets: set[socket.socket] = set()
        self.kept: dict[tuple[int, int], bytes] = {}
        self.kept_at = (0, 0)
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> str:
        """Open the port; where it is."""
        self.server.start()
        self.greenlets = [gevent.spawn(self._watch)]
        state = self.store.history.state
        self.log("registry.listening", port=self.server.server_port, version=state.version, epoch=state.epoch)
        return f"{self.server.server_host}:{self.server.server_port}"

    def stop(self) -> None:
        """Close everything."""
        self.server.close()
        gevent.killall(self.greenlets)
        for sock in list(self.sockets):
            sock.close()
        self.store.close()

    def _watch(self) -> None:
        """See what other processes commit. A broken log is told, and what was read before it stands."""
        while True:
            gevent.sleep(LOOK_EVERY_S)
            try:
                if self.store.refresh():
                    self.changed.set()
                    self.changed.clear()
            except StoreError as error:
                self.log("registry.store_broken", reason=str(error))
                gevent.sleep(1.0)

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        self.sockets.add(sock)
        try:
            serve(sock, RequestReader(16_384, 100, BODY_BYTES), self._answer)
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _answer(self, request: Request) -> bytes:
        parts = urlsplit(request.target.decode())
        try:
            if (request.method, parts.path) == ("GET", "/v1/updates"):
                return write.response(
                    200,
                    [(b"content-type", b"application/x-protobuf")],
                    self._update(parse_qs(parts.query)),
                    request.keep_alive,
                )
            if (request.method, parts.path) == ("POST", "/v1/use"):
                self._use(request.body)
                return write.response(200, [], b"", request.keep_alive)
        except StoreError as error:
            self.log("registry.store_broken", reason=str(error))
            return write.response(503, [], b"", request.keep_alive)
        except (ValueError, msgspec.MsgspecError) as error:
            return write.response(
                400, [(b"content-type", b"text/plain")], str(error).encode(), request.keep_alive
            )
        return write.response(404, [], b"", request.keep_alive)

    def _update(self, query: dict[str, list[str]]) -> bytes:
        def asked(name: str, default: str) -> str:
            return query.get(name, [default])[0]

        epoch, after = int(asked("epoch", "0")), int(asked("after", "-1"))
        chain, whole = int(asked("chain", "0"), 16), asked("whole", "0") == "1"
        wait = min(MOST_WAIT_MS, float(asked("wait_ms", "0")))
        if not wait:
            self.store.refresh()  # who asks so wants to know of every commit before this moment
        body = self.store.history.since(epoch, after, chain, whole)
        if isinstance(body, Unchanged) and wait > 0 and not body.other_past:
            self.changed.wait(wait / 1000)
            body = self.store.history.since(epoch, after, chain, whole)
        if isinstance(body, Unchanged):
            return envelope(body, self.clock(), self.key)
        state = self.store.history.state
        if self.kept_at != (state.epoch, state.version):
            self.kept, self.kept_at = {}, (state.epoch, state.version)
        sent = (epoch, after) if not hasattr(body, "columns") else (0, -1)
        if sent not in self.kept:  # made once for all followers that come from there
            if len(self.kept) >= KEPT_ENVELOPES:
                self.kept.clear()
            self.kept[sent] = envelope(body, self.clock(), self.key)
        return self.kept[sent]

    def _use(self, body: bytes) -> None:
        by_name = self.store.history.state.by_name
        uses: list[Any] = msgspec.json.decode(body, type=list[Use])
        self.store.note_use(
            [
                (by_name.get(name, f"{name:016x}"), network, first, last, count)
                for name, network, first, last, count in uses
            ]
        )
