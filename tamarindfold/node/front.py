"""The front for the platform's clients: headers are believed once they are valid."""

from __future__ import annotations

from collections.abc import Callable
from itertools import chain

from gevent import socket

from tamarindfold.http1.requests import Rejected, Request
from tamarindfold.ingress.connection import ClientConnection, Listener
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Exchange, Refused
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import Why
from tamarindfold.node.limits import Limits
from tamarindfold.node.wording import PlatformWords
from tamarindfold.platform import names, words
from tamarindfold.platform.requests import Admission

FULL_MS = 100.0  # to those refused because too many requests are open


class PlatformFront(Listener):
    """Serves the platform's clients within a budget of connections."""

    limits: Limits

    def __init__(
        self,
        limits: Limits,
        core: Core,
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[..., None],
        why_not_ready: Callable[[], str],
    ) -> None:
        settings = core.gateway.settings
        super().__init__(
            limits,
            core,
            PlatformWords(settings.retry_after),
            timers,
            clock,
            log,
            limits.connections + limits.ending,
        )
        self.why_not_ready = why_not_ready
        self.admission = Admission(settings)
        self.connection = PlatformConnection
        self.silent: dict[ClientConnection, None] = {}  # that have not yet brought a good request
        self.open_names: set[bytes] = set()
        self.counts |= dict.fromkeys(("evicted", "no_room", "not_kept"), 0)

    def serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """One client connection, if there is room or room can be made."""
        if len(self.clients) > self.limits.connections and not self._make_room():
            self.counts["no_room"] += 1
            sock.close()
            return
        super().serve(sock, address)

    @property
    def known_idle(self) -> int:
        """Connections that brought good requests and stand idle; silent ones are closed for room."""
        return len(self.idle) - len(self.silent)

    def _make_room(self) -> bool:
        """Have the oldest connection that brought nothing end, or else the one idle longest.

        Not one whose request lies on its socket, or is being answered. Its greenlet closes it in this turn of
        the loop; meanwhile it is beyond the bound (`ending`).
        """
        now = self.clock()
        known = (
            c
            for c, since in self.idle.items()
            if c not in self.silent and now - since >= self.limits.idle_least_ms
        )
        for victim in chain((c for c in self.silent if c in self.reading), known):
            if not victim.late and not victim.unread():
                self.counts["evicted"] += 1
                victim.hurry()
                return True
        return False


class PlatformConnection(ClientConnection):
    """A connection of the platform's clients: one request at a time."""

    front: PlatformFront
    limits: Limits

    def run(self) -> None:
        self.front.silent[self] = None
        try:
            super().run()
        finally:
            self.front.silent.pop(self, None)

    def phase_ms(self, phase: int) -> float:
        """A connection's first request has a bound as a whole, or trickling bytes would hold it open."""
        allowed = super().phase_ms(phase)
        if not self.answered:
            gone = self.front.clock() - self.accepted_ms
            allowed = min(allowed, max(0.0, self.limits.first_ms - gone))
        return allowed

    @property
    def keep(self) -> bool:
        """Who sends the next request before the answer does not keep to the protocol.

        Guards against idle connections that use up what clients may hold: nobody else could ask any more.
        """
        return super().keep and not self.ahead and self.front.known_idle < self.limits.kept_idle

    def _enter(self, request: Request, peer: str) -> Exchange | bytes:
        front, limits = self.front, self.limits
        if request.target == names.READY and request.method == "GET":
            return words.ready(front.why_not_ready(), self.keep)
        if self.reader.ready or self.reader.in_message:
            front.counts["ahead"] += 1
            raise Rejected(400, "requests are sent one at a time")
        asked = front.admission.read(request)
        if asked.name in front.open_names:
            raise Rejected(409, "x-call-id: of a request that is open")
        front.silent.pop(self, None)
        if len(front.core.open_exchanges) >= limits.open_requests:
            front.counts["full"] += 1
            return front.words.final(Refused(FULL_MS, Why.PRESSURE), asked.name, self.keep)
        front.core.last_request_number = number = front.core.last_request_number + 1
        deadline = self.came_ms + asked.time_left_ms
        return Exchange(
            number,
            asked.name,
            asked.cls,
            asked.customer,
            asked.plan,
            asked.units,
            asked.width,
            asked.retry,
            deadline,
            deadline - limits.answer_margin_ms,
            request.method,
            request.target,
            [],
            request.body,
            first_gateway=asked.first,
        )

    def _decided(self, exchange: Exchange) -> bytes:
        open_names = self.front.open_names
        open_names.add(exchange.name)
        try:
            return super()._decided(exchange)
        finally:
            open_names.discard(exchange.name)
            self.front.counts["not_kept"] += self.front.known_idle >= self.limits.kept_idle
