"""A simulated backend server with cores, a queue, random work and slow starts.

After a cold start its capacity rises slowly; if it gets too many requests in that time, it crashes.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any

import gevent
from gevent import socket
from gevent.lock import Semaphore
from msgspec import Struct

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Request, RequestReader
from tamarindfold.ingress import headers as names
from tamarindfold.standins.base import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    Fault,
    Standin,
    open_ledger,
    reset,
    serve_http,
)

# A cold server tolerates the work of this many requests beyond its limit, since arrivals are random.
OVERLOAD_SLACK_REQUESTS = 2.0


class TariffConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Configuration of one server.

    work_ms is the mean work of one unit, by class, in milliseconds of one core. cold_ms is the time after a
    cold start until the server has its full speed; at first it has the fraction start_capacity of it. A cold
    server crashes if within overload_ms it receives more than fall_multiple times the work that it can do in
    that time. keep_keys_ms is how long it drops repeats of an idempotency key.
    """

    name: str = "tariff"
    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    cores: int = 2
    queue: int = 64
    work_ms: dict[str, float] = {}
    default_work_ms: float = 20.0
    sigma: float = 0.3  # standard deviation of the logarithm of the work
    cold: bool = False
    cold_ms: float = 15_000.0
    start_capacity: float = 0.2
    fall_multiple: float = 2.0
    overload_ms: float = 1_000.0
    keep_keys_ms: float = 3_000.0
    report_load: bool = True
    faults: list[Fault] = []


class TariffServer(Standin):
    """Serves any path; takes class, units and idempotency key from the gateway's headers."""

    fault_kinds = frozenset(
        (
            "stall",
            "slow",
            "fail",
            "full",
            "reset_after_run",
            "drop_answer",
            "reset_before_run",
            "early_answer",
            "answer_twice",
            "close_mid_chunk",
            "close_idle",
            "hang",
        )
    )

    def __init__(self, config: TariffConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.config = config
        self.cores = Semaphore(config.cores)
        self.waiting = self.running = 0
        self.started_at = self.clock() if config.cold else -math.inf
        self.recent_work: deque[tuple[float, float]] = deque()  # arrival time and work, while cold
        self.crashed = False
        self.executed_keys: dict[str, float] = {}  # idempotency keys with the start of their last run
        self.work_done_ms = 0.0

    def startup_fields(self) -> dict[str, Any]:
        config = self.config
        return super().startup_fields() | {
            "cold": config.cold,
            "cores": config.cores,
            "cold_ms": config.cold_ms,
            "start_capacity": config.start_capacity,
            "overload_ms": config.overload_ms,
            "fall_multiple": config.fall_multiple,
            "slack": OVERLOAD_SLACK_REQUESTS * config.default_work_ms,
        }

    # ---- capacity

    def capacity(self, now: float) -> float:
        """The fraction of its full speed that the server has now."""
        age_ms = now - self.started_at
        if age_ms >= self.config.cold_ms:
            return 1.0
        return self.config.start_capacity + (1 - self.config.start_capacity) * age_ms / self.config.cold_ms

    def _is_overloaded(self, now: float, work: float) -> bool:
        """Count newly arrived work; true if a cold server has received more than it can bear and crashes."""
        config = self.config
        if now - self.started_at >= config.cold_ms:
            return False
        self.recent_work.append((now, work))
        while self.recent_work[0][0] <= now - config.overload_ms:
            self.recent_work.popleft()
        limit = config.fall_multiple * self.capacity(now) * config.cores * config.overload_ms
        return sum(w for _, w in self.recent_work) > limit + OVERLOAD_SLACK_REQUESTS * config.default_work_ms

    # ---- requests

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        if self.crashed:
            return reset(sock)
        if self.active_fault("early_answer") is not None:
            return self._respond_early(sock, peer)
        serve_http(
            sock,
            self.clock,
            lambda sock, request, first_byte_at: self._handle(sock, request, first_byte_at, peer[0]),
        )

    def _handle(self, sock: socket.socket, request: Request, first_byte_at: float, peer: str) -> None:
        def header(name: bytes) -> str:
            return (request.get(name) or b"").decode()

        cls, units = header(names.CLASS), float(header(names.UNITS) or 1)
        mean = self.config.work_ms.get(cls, self.config.default_work_ms)
        work = mean * units * self.random.lognormvariate(-(self.config.sigma**2) / 2, self.config.sigma)
        key = header(names.IDEMPOTENCY_KEY)
        attempt_id = {"try": header(names.REQUEST), "attempt": int(header(names.ATTEMPT) or 0)}
        self.ledger.record(
            first_byte_at,
            "received",
            peer=peer,
            cls=cls,
            units=units,
            work=round(work, 3),
            key=key,
            customer=header(names.CUSTOMER),
            plan=header(names.PLAN),
            path=request.target.decode(),
            capacity=round(self.capacity(first_byte_at), 4),
            **attempt_id,
        )
        if self._is_overloaded(first_byte_at, work):
            self.crashed = True
            self.ledger.record(self.clock(), "fell")
            gevent.spawn(self.reset_connections)
        if self.crashed:
            return reset(sock)
        if self.active_fault("reset_before_run", cls) is not None:
            self.ledger.record(self.clock(), "reset", **attempt_id)
            return reset(sock)
        if self.waiting >= self.config.queue or self.active_fault("full", cls) is not None:
            self.ledger.record(self.clock(), "full", **attempt_id)
            return self._send(sock, request, 503, b"full", [(names.FULL, b"1")])
        if self.active_fault("hang", cls) is not None:
            gevent.sleep(3600)
        failure_status = self._run(cls, work, key, attempt_id)
        if self.active_fault("reset_after_run", cls) is not None:
            return reset(sock)
        if self.active_fault("drop_answer", cls) is not None:
            self.ledger.record(self.clock(), "dropped", **attempt_id)
            gevent.sleep(3600)
        if self.active_fault("close_mid_chunk", cls) is not None:
            sock.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\nhalf")
            sock.close()
            return
        body = b'{"server":"%s","price":%d}' % (self.config.name.encode(), self.random.randrange(1, 100))
        self._send(sock, request, failure_status or 200, body, [])
        self.ledger.record(self.clock(), "answered", status=failure_status or 200, **attempt_id)
        if self.active_fault("answer_twice", cls) is not None:
            self._send(sock, request, 200, b"again", [])
        if self.active_fault("close_idle", cls) is not None:
            sock.close()

    def _run(self, cls: str, work: float, key: str, attempt_id: dict[str, Any]) -> int:
        """Wait for a core, do the work and record it; the error status of an injected failure, else 0."""
        self.waiting += 1
        with self.cores:
            self.waiting -= 1
            self.running += 1
            try:
                now = self.clock()
                if key and now - self.executed_keys.get(key, -math.inf) < self.config.keep_keys_ms:
                    self.ledger.record(now, "repeat_dropped", **attempt_id)
                    return 0
                slow = self.active_fault("slow", cls)
                gevent.sleep(work * (slow.factor if slow else 1.0) / self.capacity(now) / 1000)
                while (left_ms := self.fault_end("stall") - self.clock()) > 0:
                    gevent.sleep(min(left_ms, 60_000) / 1000)
                failure = self.active_fault("fail", cls)
                if key:
                    self.executed_keys[key] = now
                self.work_done_ms += work
                self.ledger.record(self.clock(), "ran", failed=failure is not None, **attempt_id)
                return failure.status if failure else 0
            finally:
                self.running -= 1

    def _send(
        self,
        sock: socket.socket,
        request: Request,
        status: int,
        body: bytes,
        extra_headers: list[tuple[bytes, bytes]],
    ) -> None:
        headers = [(b"content-type", b"application/json"), *extra_headers]
        if status == 200 and (units := request.get(names.UNITS)):
            headers.append((names.UNITS, units))
        if self.config.report_load:
            utilization = self.running / self.config.cores
            headers.append(
                (names.LOAD, b"util=%.2f, inflight=%d" % (utilization, self.running + self.waiting))
            )
        sock.sendall(write.response(status, headers, body, request.keep_alive, request.method == "HEAD"))

    def _respond_early(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Send a response as soon as the header has arrived, without waiting for the body, and close."""
        reader = RequestReader(MAX_HEADER_BYTES, MAX_HEADERS, MAX_BODY_BYTES)
        while not reader.in_body and not reader.ready:
            data = sock.recv(65536)
            if not data:
                return
            reader.feed(data)
        self.ledger.record(self.clock(), "early", peer=peer[0])
        sock.sendall(write.response(413, [], b"too much", False))

    def handle_admin(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Adds GET /load."""
        if (method, path) == ("GET", "/load"):
            return 200, {
                "running": self.running,
                "waiting": self.waiting,
                "fallen": self.crashed,
                "capacity": self.capacity(self.clock()),
                "work_done_ms": self.work_done_ms,
            }
        return super().handle_admin(method, path, body)
