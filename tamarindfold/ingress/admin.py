"""Health and counts on a listener and threads of their own, outside the loop that carries the load.

gevent does not patch this process, so these are the system's threads and sockets: they answer while the loop
is busy or stands still, and tell that it does. They only read.
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

QUIET_S = 2.0  # a caller that says nothing is let go


class Watched(Protocol):
    """What is told of: a gateway that runs."""

    turned_at: float  # when its loop turned last, by the monotonic clock, in seconds

    @property
    def ready(self) -> str:
        """Why requests can't be decided now; empty where they can."""

    def counts(self) -> dict[str, Any]:
        """All counters, by part."""


class Admin:
    """GET /health (the loop turns), /ready (requests can be decided), /counts."""

    def __init__(self, config: AdminConfig, ingress: Watched) -> None:
        self.config, self.ingress, self.host = config, ingress, config.host
        self.server: _Server | None = None

    @property
    def port(self) -> int:
        """Where it listens."""
        assert self.server is not None
        port: int = self.server.server_address[1]
        return port

    def start(self) -> None:
        """Open the listener; OSError where it can't be had."""
        self.server = _Server(self)
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.1}, daemon=True).start()

    def stop(self) -> None:
        """Close the listener."""
        if self.server is not None:
            self.server.shutdown()
            self.server.server_close()

    def answer(self, path: str) -> tuple[int, dict[str, Any]]:
        """Status and body for a path."""
        if path == "/health":
            age_ms = (time.monotonic() - self.ingress.turned_at) * 1000
            turns = age_ms < self.config.stale_ms
            return (200 if turns else 503), {
                "status": "ok" if turns else "the loop stands still",
                "turned_ms_ago": round(age_ms),
            }
        if path == "/ready":
            why = self.ingress.ready
            return (503 if why else 200), {"status": why or "ready"}
        if path == "/counts":
            return 200, self.ingress.counts()
        return 404, {"error": "GET /health, /ready or /counts"}


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.places = threading.BoundedSemaphore(admin.config.connections)
        super().__init__((admin.config.host, admin.config.port), _Handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        if not self.places.acquire(blocking=False):
            return self.shutdown_request(request)
        super().process_request(request, client_address)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        try:
            super().process_request_thread(request, client_address)
        finally:
            self.places.release()

    def handle_error(self, request: socket | tuple[bytes, socket], client_address: Any) -> None:
        """A caller that went away is no event."""


class _Handler(BaseHTTPRequestHandler):
    server: _Server
    timeout = QUIET_S

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
        """No line for each call."""
