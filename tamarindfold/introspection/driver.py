"""Runs token lookups over HTTP and lets request greenlets wait for the checker's result."""

from __future__ import annotations

import base64
import os
from collections.abc import Callable
from urllib.parse import quote_plus, urlencode, urlsplit

import gevent
from gevent import socket
from gevent.event import AsyncResult

from tamarindfold.http1 import write
from tamarindfold.http1.responses import BadResponse, ResponseReader
from tamarindfold.introspection import bearer, claims
from tamarindfold.introspection.checker import (
    Action,
    Active,
    CheckRequested,
    Event,
    Inactive,
    LookUp,
    LookUpFailed,
    LookUpSucceeded,
    Notify,
    Rules,
    TokenChecker,
    TokenStatus,
    Unknown,
    WaiterTimedOut,
)
from tamarindfold.links.turns import FairSocket

__all__ = ["Active", "Inactive", "Introspector", "Unknown"]


class Introspector:
    """The introspection client of one gateway.

    Many greenlets may call check() at a time. `clock` returns milliseconds since the epoch.
    """

    def __init__(
        self,
        url: str,
        client_id: str,
        secret: str,
        rules: Rules,
        connections: int,
        max_answer_bytes: int,
        seed: int,
        clock: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        parts = urlsplit(url)
        self.address = (parts.hostname or "", parts.port or 80)
        self.host = parts.netloc.encode()
        self.target = (parts.path or "/").encode() + (b"?" + parts.query.encode() if parts.query else b"")
        # RFC 6749 section 2.3.1: id and secret are form-encoded before they are joined
        credentials = f"{quote_plus(client_id)}:{quote_plus(secret)}".encode()
        self.headers = [
            (b"authorization", b"Basic " + base64.b64encode(credentials)),
            (b"content-type", b"application/x-www-form-urlencoded"),
            (b"accept", b"application/json"),
        ]
        self.checker = TokenChecker(rules, seed)
        self.clock, self.log = clock, log
        self.key = os.urandom(32)  # random, so that digests are useless outside this process
        self.max_idle, self.max_answer_bytes = connections, max_answer_bytes
        self.tokens: dict[bytes, bytes] = {}  # plain tokens by digest, kept only while a lookup needs them
        self.waiters: dict[int, AsyncResult] = {}
        self.idle: list[tuple[socket.socket, ResponseReader]] = []
        self.last_waiter = 0

    def check(self, token: bytes, give_up_ms: float, stale_ok: bool) -> TokenStatus:
        """Check a token, waiting at most until give_up_ms.

        stale_ok: an expired cached answer is acceptable if no new one can be had.
        """
        self.last_waiter += 1
        number, digest = self.last_waiter, bearer.digest(self.key, token)
        actions = self.checker.handle(self.clock(), CheckRequested(digest, number, stale_ok))
        if len(actions) == 1 and isinstance(actions[0], Notify):
            return actions[0].status  # fast path: answered at once and nothing else to do
        result = self.waiters[number] = AsyncResult()
        self.tokens.setdefault(digest, token)
        self._carry_out(actions)
        self._drop_unused_token(digest)
        try:
            if not result.wait(max(0.0, give_up_ms - self.clock()) / 1000):
                self._handle(WaiterTimedOut(digest, number))
            status: TokenStatus = result.get()
            return status
        finally:
            self.waiters.pop(number, None)
            self._drop_unused_token(digest)

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop()[0].close()

    def _drop_unused_token(self, digest: bytes) -> None:
        if digest not in self.checker.pending:
            self.tokens.pop(digest, None)

    def _handle(self, event: Event) -> None:
        self._carry_out(self.checker.handle(self.clock(), event))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Notify):
                if (waiter := self.waiters.get(action.waiter)) is not None:
                    waiter.set(action.status)
            elif isinstance(action, LookUp):
                gevent.spawn(self._look_up, action)

    def _look_up(self, action: LookUp) -> None:
        event: Event
        try:
            with gevent.Timeout(action.timeout_ms / 1000):
                event = LookUpSucceeded(action.key, claims.parse_answer(self._query(self.tokens[action.key])))
        except gevent.Timeout:
            event = LookUpFailed(action.key, "the token check took too long")
        except (OSError, BadResponse) as error:
            event = LookUpFailed(action.key, "the token check is out of reach")
            self.log("introspection.failed", reason=str(error))
        except claims.BadAnswer as error:
            event = LookUpFailed(action.key, "the token check made no sense")
            self.log("introspection.failed", reason=str(error))
        self._handle(event)
        self._drop_unused_token(action.key)

    def _query(self, token: bytes) -> bytes:
        """Send one introspection request (RFC 7662 section 2.1) and return the body of the answer.

        The request is idempotent, so it is sent again if an idle connection turns out to be closed.
        """
        body = urlencode({"token": token.decode(), "token_type_hint": "access_token"}).encode()
        message = write.request("POST", self.target, self.host, self.headers, body)
        while self.idle:
            sock, reader = self.idle.pop()
            try:
                return self._exchange(sock, reader, message)
            except (ConnectionError, BadResponse):
                if reader.started:
                    raise
        sock = socket.create_connection(self.address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self._exchange(sock, ResponseReader(self.max_answer_bytes), message)

    def _exchange(self, sock: socket.socket, reader: ResponseReader, message: bytes) -> bytes:
        reader.begin()
        returned_to_pool = False
        try:
            sock.sendall(message)
            reader.read(FairSocket(sock).recv)
            if reader.status != 200:
                raise BadResponse(f"status {reader.status}")
            if reader.reusable and not reader.excess and len(self.idle) < self.max_idle:
                self.idle.append((sock, reader))
                returned_to_pool = True
            return reader.body
        finally:
            if not returned_to_pool:
                sock.close()
