"""Serves the store to gateways over HTTP: updates by long poll, and reports of credential use.

Other processes commit to the store's file; this one polls it for commits and sends them to waiting gateways.
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
from tamarindfold.identity.wire import Unchanged, encode_update
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.links.turns import FairSocket

STORE_POLL_INTERVAL_S = 0.02
MAX_WAIT_MS = 60_000.0
MAX_CACHED_ENVELOPES = 64  # one for each version that followers start from
MAX_BODY_BYTES = 8 << 20

Use = tuple[int, str, float, float, int]  # credential id, network, first and last time, requests


class RegistryServer:
    """Serves one store on one port."""

    def __init__(
        self, store: Store, key: Ed25519PrivateKey, host: str, port: int, log: Callable[..., None]
    ) -> None:
        self.store, self.key, self.log = store, key, log
        self.clock = SteadyClock().now
        self.server = StreamServer((host, port), self._serve_connection, backlog=1024)
        self.store_changed = Event()
        self.sockets: set[socket.socket] = set()
        self.cached_envelopes: dict[tuple[int, int], bytes] = {}
        self.cached_version = (0, 0)
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> str:
        """Start serving; return the address as host:port."""
        self.server.start()
        self.greenlets = [gevent.spawn(self._watch_store)]
        state = self.store.history.state
        self.log("registry.listening", port=self.server.server_port, version=state.version, epoch=state.epoch)
        return f"{self.server.server_host}:{self.server.server_port}"

    def stop(self) -> None:
        """Close the port, all connections and the store."""
        self.server.close()
        gevent.killall(self.greenlets)
        for sock in list(self.sockets):
            sock.close()
        self.store.close()

    def _watch_store(self) -> None:
        """Wake waiting followers when another process commits.

        A broken log is reported; the state read before it remains in service.
        """
        while True:
            gevent.sleep(STORE_POLL_INTERVAL_S)
            try:
                if self.store.refresh():
                    self.store_changed.set()
                    self.store_changed.clear()
            except StoreError as error:
                self.log("registry.store_broken", reason=str(error))
                gevent.sleep(1.0)

    def _serve_connection(self, sock: socket.socket, _peer: object) -> None:
        self.sockets.add(sock)
        try:
            serve(FairSocket(sock), RequestReader(16_384, 100, MAX_BODY_BYTES), self._respond)
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _respond(self, request: Request) -> bytes:
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
                self._record_uses(request.body)
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
        def parameter(name: str, default: str) -> str:
            return query.get(name, [default])[0]

        epoch, after = int(parameter("epoch", "0")), int(parameter("after", "-1"))
        chain, want_snapshot = int(parameter("chain", "0"), 16), parameter("whole", "0") == "1"
        wait_ms = min(MAX_WAIT_MS, float(parameter("wait_ms", "0")))
        if not wait_ms:
            self.store.refresh()  # such a follower needs every commit made before its request
        body = self.store.history.since(epoch, after, chain, want_snapshot)
        if isinstance(body, Unchanged) and wait_ms > 0 and not body.diverged:
            self.store_changed.wait(wait_ms / 1000)
            body = self.store.history.since(epoch, after, chain, want_snapshot)
        if isinstance(body, Unchanged):
            return encode_update(body, self.clock(), self.key)
        state = self.store.history.state
        if self.cached_version != (state.epoch, state.version):
            self.cached_envelopes, self.cached_version = {}, (state.epoch, state.version)
        cache_key = (epoch, after) if not hasattr(body, "columns") else (0, -1)
        if cache_key not in self.cached_envelopes:  # encoded once for all followers of that version
            if len(self.cached_envelopes) >= MAX_CACHED_ENVELOPES:
                self.cached_envelopes.clear()
            self.cached_envelopes[cache_key] = encode_update(body, self.clock(), self.key)
        return self.cached_envelopes[cache_key]

    def _record_uses(self, body: bytes) -> None:
        labels = self.store.history.state.credential_labels
        uses: list[Any] = msgspec.json.decode(body, type=list[Use])
        self.store.add_uses(
            [
                (labels.get(credential_id, f"{credential_id:016x}"), network, first, last, count)
                for credential_id, network, first, last, count in uses
            ]
        )
