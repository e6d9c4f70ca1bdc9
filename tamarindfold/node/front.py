"""The server side for the platform's clients; valid request headers are trusted without authentication."""

from __future__ import annotations

from collections.abc import Callable
from itertools import chain

from gevent import socket

from tamarindfold.ds.memory import MemoryBudget
from tamarindfold.http1.requests import Rejected, Request
from tamarindfold.ingress.base_front import BaseFront
from tamarindfold.ingress.connection import ClientConnection, Phase
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Exchange, Refused, Served
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import Effect, Why
from tamarindfold.node.adapters import PlatformResponses
from tamarindfold.node.call_ids import CallIds
from tamarindfold.node.limits import Limits
from tamarindfold.platform import responses, wire_names
from tamarindfold.platform.requests import CallParser

OVERLOAD_RETRY_AFTER_MS = 100.0  # for requests refused because too many are open


class PlatformFront(BaseFront):
    """Serves the platform's clients within a limited number of connections."""

    limits: Limits

    def __init__(
        self,
        limits: Limits,
        core: Core,
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[..., None],
        memory: MemoryBudget,
        not_ready_reason: Callable[[], str],
    ) -> None:
        settings = core.gateway.settings
        super().__init__(
            limits,
            core,
            PlatformResponses(settings.retry_after),
            timers,
            clock,
            log,
            limits.connections + limits.eviction_headroom,
            memory,
        )
        self.not_ready_reason = not_ready_reason
        self.parser = CallParser(settings)
        self.connection_type = PlatformConnection
        # connections without a valid request so far, oldest first
        self.unproven: dict[ClientConnection, None] = {}
        self.call_ids = CallIds()
        self.counts |= dict.fromkeys(("evicted", "no_room", "not_kept"), 0)

    def serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one client connection if there is room or another connection can be evicted."""
        if len(self.clients) > self.limits.connections and not self._make_room():
            self.counts["no_room"] += 1
            sock.close()
            return
        super().serve(sock, address)

    @property
    def proven_idle(self) -> int:
        """Number of idle connections that have had a valid request; unproven ones can be evicted instead."""
        return len(self.idle) - len(self.unproven)

    def _make_room(self) -> bool:
        """Evict the oldest unproven connection or, if there is none, the one that has been idle the longest.

        One with a request in its socket buffer or in progress is not closed without an answer: if there is no
        other, the oldest unproven one in the middle of its request gets an error. The evicted
        connection's own greenlet closes it in this iteration of the event loop; until then it counts towards
        `eviction_headroom`.
        """
        now = self.clock()
        proven = (
            connection
            for connection, since in self.idle.items()
            if connection not in self.unproven and now - since >= self.limits.evictable_idle_ms
        )
        for victim in chain((c for c in self.unproven if c in self.reading), proven):
            if not victim.no_wait and not victim.has_unread_bytes():
                self.counts["evicted"] += 1
                victim.stop_waiting()
                return True
        begun = (c for c in self.unproven if c in self.reading and c not in self.idle and not c.evicted)
        if (unfinished := next(begun, None)) is not None:
            self.counts["evicted"] += 1
            unfinished.evict()
            return True
        return False


class PlatformConnection(ClientConnection):
    """One connection of a platform client; requests come one at a time."""

    front: PlatformFront
    limits: Limits

    def run(self) -> None:
        self.front.unproven[self] = None
        try:
            super().run()
        finally:
            self.front.unproven.pop(self, None)

    def phase_timeout_ms(self, phase: Phase) -> float:
        """Also bounds the total time of the first request, which trickling bytes could otherwise prolong."""
        allowed = super().phase_timeout_ms(phase)
        if not self.answered:
            elapsed_ms = self.front.clock() - self.accepted_ms
            allowed = min(allowed, max(0.0, self.limits.first_request_timeout_ms - elapsed_ms))
        return allowed

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after this response.

        It is closed if the client sent the next request before the response, which violates the protocol, or
        if many connections are idle, as they would leave no room for other clients.
        """
        return (
            super().keep_alive
            and not self.pipelined
            and self.front.proven_idle < self.limits.max_idle_connections
        )

    def _admit(self, request: Request, peer: str) -> Exchange | bytes:
        front, limits = self.front, self.limits
        if self.reader.ready or self.reader.in_message or self.pipelined_data:
            front.counts["ahead"] += 1
            raise Rejected(400, "requests are sent one at a time")
        if request.target == wire_names.READY and request.method == "GET":
            return responses.ready(front.not_ready_reason(), self.keep_alive)
        call = front.parser.parse(request)
        if front.call_ids.is_taken(call.call_id, front.clock()):
            raise Rejected(409, "x-call-id: of a request that is open or may still run")
        front.unproven.pop(self, None)
        if len(front.core.open_exchanges) >= limits.open_requests:
            front.counts["full"] += 1
            return front.renderer.final(
                Refused(OVERLOAD_RETRY_AFTER_MS, Why.PRESSURE), call.call_id, self.keep_alive
            )
        front.core.last_request_number = number = front.core.last_request_number + 1
        deadline_ms = self.last_byte_ms + call.time_left_ms
        return Exchange(
            number,
            call.call_id,
            call.cls,
            call.customer,
            call.plan,
            call.units,
            call.width,
            call.retry,
            deadline_ms,
            deadline_ms - limits.answer_margin_ms,
            request.method,
            request.target,
            [],
            request.body,
            first_gateway=call.first_gateway,
        )

    def _process(self, exchange: Exchange) -> bytes:
        front = self.front
        front.call_ids.add(exchange.name)
        try:
            return super()._process(exchange)
        finally:
            front.call_ids.end(exchange.name, front.clock(), self._keep_id_until_ms(exchange))
            front.counts["not_kept"] += front.proven_idle >= self.limits.max_idle_connections

    def _keep_id_until_ms(self, exchange: Exchange) -> float:
        """Until when this id must not run again; 0 if it could do no harm: not sent, or safe and served."""
        if not exchange.written:
            return 0.0
        effect = self.front.core.gateway.settings.classes[exchange.cls].effect
        harmless = effect is Effect.SAFE and isinstance(exchange.final, Served)
        return 0.0 if harmless else exchange.deadline_ms
