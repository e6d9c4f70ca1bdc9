"""Health, readiness and counters over HTTP, on a listener and threads separate from the event loop.

gevent does not patch this process, so these are system threads and sockets: they respond even while the event
loop is busy or blocked, and report that state. They only read the gateway's state.
"""

from __future__ import annotations

import json
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from socket import socket
from typing import Any, Protocol

from tamarindfold.config.model import Admin as AdminConfig

READ_TIMEOUT_S = 2.0


class ObservedGateway(Protocol):
    """What the admin endpoints need of a running gateway."""

    last_loop_turn_s: float  # when its event loop last ran, by time.monotonic()

    @property
    def not_ready_reason(self) -> str:
        """Why requests can't be decided now; empty if they can."""

    def counts(self) -> dict[str, Any]:
        """All counters, by component."""


class Admin:
    """GET /health (the event loop runs), /ready (requests can be decided), /counts."""

    def __init__(self, config: AdminConfig, ingress: ObservedGateway) -> None:
        self.config, self.ingress, self.host = config, ingress, config.host
        self.server: _Server | None = None

    @property
    def port(self) -> int:
        """The port it listens on."""
        assert self.server is not None
        port: int = self.server.server_address[1]
        return port

    def start(self) -> None:
        """Open the listener; raises OSError if its address can't be bound."""
        self.server = _Server(self)
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.1}, daemon=True).start()

    def stop(self) -> None:
        """Close the listener."""
        if self.server is not None:
            self.server.shutdown()
            self.server.server_close()

    def answer(self, path: str) -> tuple[int, dict[str, Any]]:
        """Status and body of the response for a path."""
        if path == "/health":
            age_ms = (time.monotonic() - self.ingress.last_loop_turn_s) * 1000
            running = age_ms < self.config.stale_ms
            return (200 if running else 503), {
                "status": "ok" if running else "the loop stands still",
                "turned_ms_ago": round(age_ms),
            }
        if path == "/ready":
            reason = self.ingress.not_ready_reason
            return (503 if reason else 200), {"status": reason or "ready"}
        if path == "/counts":
            return 200, self.ingress.counts()
        return 404, {"error": "GET /health, /ready or /counts"}


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.slots = threading.BoundedSemaphore(admin.config.connections)
        super().__init__((admin.config.host, admin.config.port), _Handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        if not self.slots.acquire(blocking=False):
            return self.shutdown_request(request)
        super().process_request(request, client_address)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        try:
            super().process_request_thread(request, client_address)
        finally:
            self.slots.release()

    def handle_error(self, request: socket | tuple[bytes, socket], client_address: Any) -> None:
        """Ignores a client that disconnected."""


class _Handler(BaseHTTPRequestHandler):
    server: _Server
    timeout = READ_TIMEOUT_S

    def do_GET(self) -> None:
        status, body = self.server.admin.answer(self.path.partition("?")[0])
        data = json.dumps(body).encode()
        with suppress(OSError):
            self.send_response(status)
            self.send_header("content-type", "application/json")
            self.send_header("content-length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

    def log_message(self, format: str, *args: Any) -> None:
        """Suppresses the log line for each request."""
