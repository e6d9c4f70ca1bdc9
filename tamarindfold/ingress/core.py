"""The one place that calls the module: events in, actions out, one after another.

A request may end from outside while events about it wait (after a standstill): it stays in `withdrawn` until
the module has heard of that, so that each Send has an outcome all the same, and what never reached the module
is not decided any more.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Any, Protocol

import gevent
from gevent.event import Event as GeventEvent

from tamarindfold.choice import Gateway
from tamarindfold.ingress.exchange import (
    Exchange,
    Expired,
    Failed,
    Final,
    Lapsed,
    Left,
    Refused,
    Served,
)
from tamarindfold.interface import (
    AttemptEnded,
    BackendEntry,
    BackendState,
    Cancel,
    Count,
    CountAnswered,
    Event,
    Fail,
    FleetUpdate,
    ListKind,
    Log,
    Outcome,
    Refuse,
    RequestArrived,
    RequestWithdrawn,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    StoodStill,
    TimerFired,
    UsePassed,
    Why,
)
from tamarindfold.limits.open import OpenLimits

SETTLE_S = 0.003  # after a standstill: long enough for all that lies on sockets to be read


_KINDS: dict[type[Final], str] = {
    Served: "served",
    Refused: "refused",
    Failed: "failed",
    Expired: "expired",
    Left: "left",
    Lapsed: "lapsed",
}


class Sender(Protocol):
    """What starts and stops attempts."""

    def start(
        self, exchange: Exchange, attempt: int, entry: BackendEntry | None, backend: int, timeout_ms: float
    ) -> None:
        """Begin an attempt; Core.attempt_ended is owed once, whatever happens."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt."""

    def forget(self, attempt: Any) -> None:
        """An attempt that somebody else carried out has ended."""

    def run(self, attempt: Any) -> None:
        """Carry out an attempt that was started, in the greenlet that calls."""


class Memory(Protocol):
    """What keeps promises and spending across a restart."""

    def spent(self, customer: int, plan: int, width: int, units: float) -> None:
        """A ceiling was drawn from."""

    def refused(self, customer: int, plan: int, width: int, back_at_ms: float) -> None:
        """A client was told when to come back."""

    def flush(self) -> None:
        """Write what was noted."""


class Core:
    """Hands events to the module in order and carries out what it answers; never re-entered."""

    def __init__(
        self,
        gateway: Gateway,
        clock: Callable[[], float],
        log: Callable[..., None],
        stall_ms: float = math.inf,
    ) -> None:
        self.gateway, self.clock, self.log = gateway, clock, log
        self.sender: Sender | None = None
        self.count: Callable[[Count], None] | None = None
        self.open: dict[int, Exchange] = {}
        self.withdrawn: dict[int, Exchange] = {}  # ended from outside, and the module was not told yet
        self.fleet: dict[int, BackendEntry] = {}
        # before everything else of the same turn
        self.news: deque[FleetUpdate | SettingsChanged | StoodStill] = deque()
        self.events: deque[Event] = deque()
        self.busy = False
        self.stall_ms, self.turned_at = stall_ms, clock()
        self.awake = GeventEvent()  # not set in the moments after a standstill
        self.awake.set()
        self.recorder: Memory | None = None
        # by the monotonic clock: then the settings may be in force no more; None: they are its own
        self.led_until_ms: float | None = None
        self.lease_ended: Callable[[], None] = lambda: None  # settles that, before anything is decided
        self.now = 0.0  # of the event in the module's hands
        self.still_known: Callable[[Any], bool] | None = None  # whether a credential is good still
        self.numbers = 0
        self.limits = OpenLimits(gateway.settings.gateways, gateway.settings.index)
        self.counts = dict.fromkeys(
            (
                "arrived",
                "served",
                "refused",
                "failed",
                "expired",
                "left",
                "left_unsent",
                "left_sent",
                "lapsed",
                "attempts",
                "moot",
                "stalls",
                *(f"refused_{why.value}" for why in Why),
            ),
            0,
        )

    def requests(self) -> dict[str, float]:
        """What became of the requests, for the log; the units of the module's account among it."""
        units = {f"units_{name}": round(sum_, 1) for name, sum_ in self.gateway.account.items()}
        return self.counts | units

    # ---- events from the drivers

    def arrive(self, exchange: Exchange) -> None:
        """A request is the module's from here on."""
        self.open[exchange.number] = exchange
        self.counts["arrived"] += 1
        gateways = self.gateway.settings.gateways
        if limit := self.gateway.settings.plans[exchange.plan].open_limit:
            now = self.clock()
            wait = self.limits.take(
                exchange.number, exchange.customer, limit, exchange.width, now, exchange.deadline_ms
            )
            if wait is not None:
                self._finish(exchange, Refused(wait, Why.OPEN))
                return
        self.post(
            RequestArrived(
                exchange.number,
                exchange.customer,
                exchange.plan,
                exchange.cls,
                exchange.units,
                exchange.customer % gateways if exchange.first is None else exchange.first,
                exchange.width,
                max(0.0, exchange.give_up_ms - self.clock()),
                exchange.retry,
            )
        )

    def withdraw(self, exchange: Exchange, final: Final) -> None:
        """The request ends from outside the module: its client left, its token or its time ran out."""
        if self._finish(exchange, final):
            if isinstance(final, Left):  # sent: before that could be known
                self.counts["left_sent" if exchange.written else "left_unsent"] += 1
            self.withdrawn[exchange.number] = exchange
            self.post(RequestWithdrawn(exchange.number))

    def attempt_ended(
        self,
        exchange: Exchange,
        attempt: int,
        backend: int,
        outcome: Outcome,
        elapsed_ms: float,
        served: Served | None = None,
        true_units: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """The one outcome of an attempt; the first ok answers the client by itself."""
        if outcome is Outcome.MOOT:
            self.counts["moot"] += 1
        if served is not None:
            self._finish(exchange, served)
        over = exchange.final is not None
        self.post(
            AttemptEnded(
                exchange.number, attempt, backend, outcome, elapsed_ms, over, None, true_units, report
            )
        )

    def fleet_news(self, update: FleetUpdate) -> None:
        """The list changed. What is sent from now on goes by it, whatever the module had chosen before."""
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            self.fleet.clear()
        for entry in update.entries:
            if entry.state is BackendState.GONE:
                self.fleet.pop(entry.backend, None)
            else:
                self.fleet[entry.backend] = entry
        self.news.append(update)
        self._pump()

    def settle(self, settings: Settings, newcomer: bool) -> None:
        """Go by these settings from now on."""
        self.limits.resize(settings.gateways, settings.index)
        self.news.append(SettingsChanged(settings, newcomer))
        self._pump()

    def counted(self, answer: CountAnswered) -> None:
        """The answer to one counter call."""
        self.post(answer)

    def use_passed(self, customer: int, plan: int, units: float, width: int) -> None:
        """A proxy let through what was not permitted."""
        if self.recorder is not None and self.gateway.settings.plans[plan].ceiling_rate:
            self.recorder.spent(customer, plan, width, units)
        self.post(UsePassed(customer, plan, units, width))

    def post(self, event: Event) -> None:
        """Hand one event to the module, now or as soon as it is done with the one in hand."""
        self.turned(False)
        self.events.append(event)
        self._pump()

    # ---- standing still

    def turned(self, beat: bool = True) -> None:
        """The loop turns; called by a beat, and before anything is decided, whichever comes first.

        After a standstill the answers, time-outs and requests of all that time lie there at once, and among
        them perhaps the news that a server is to be left alone: for a moment only news are taken in.
        """
        if self.led_until_ms is not None and monotonic() * 1000 >= self.led_until_ms:
            self.led_until_ms = None
            self.lease_ended()
        now = self.clock()
        gone = now - self.turned_at
        if gone > self.stall_ms and self.awake.is_set():
            self.awake.clear()
            self.counts["stalls"] += 1
            self.log("instance.stood_still", for_ms=round(gone), open=len(self.open))
            self.news.append(StoodStill(gone))
            gevent.spawn(self._wake)
        if beat or gone > self.stall_ms:
            self.turned_at = now

    def _wake(self) -> None:
        gevent.sleep(SETTLE_S)
        self.awake.set()
        self._pump()

    # ---- what an attempt may do

    def hindrance(self, exchange: Exchange, entry: BackendEntry | None) -> str:
        """Why the first byte of an attempt may not be written; empty where it may. Waits out the moment
        after a standstill; behind that wait nothing yields, so what holds here holds at the write."""
        self.turned(False)
        if not self.awake.is_set():
            self.awake.wait()
        if exchange.look is not None:
            exchange.look()  # its client's end may lie there since this very turn
        if exchange.final is not None:
            return "over"
        if self.clock() >= exchange.give_up_ms:
            return "too late"
        if entry is None:
            return "gone"
        now_listed = self.fleet.get(entry.backend)
        if now_listed is None or now_listed.state is not BackendState.READY:
            return "draining or gone"
        if now_listed.up_since_ms != entry.up_since_ms:
            return "another process"  # cold, where the module counted on a warm one
        revoked = (
            exchange.known is not None
            and self.still_known is not None
            and not self.still_known(exchange.known)
        )
        if revoked or self.clock() >= exchange.token_until_ms:
            # nothing ran: the client is to bring a new token; else nobody can tell it that all is well
            self.withdraw(exchange, Failed(False) if exchange.written else Expired())
            return "token expired or revoked"
        return ""

    # ---- the module

    def _pump(self) -> None:
        if self.busy:
            return
        self.busy = True
        try:
            while self.news or (self.events and self.awake.is_set()):
                event: Event = self.news.popleft() if self.news else self.events.popleft()
                if isinstance(event, RequestArrived) and event.request in self.withdrawn:
                    continue
                self.now = self.clock()
                for action in self.gateway.handle(self.now, event):
                    self._carry_out(action)
                if isinstance(event, RequestWithdrawn):
                    self.withdrawn.pop(event.request, None)
        finally:
            self.busy = False
            if self.recorder is not None:
                self.recorder.flush()  # before any greenlet can write what was decided

    def _carry_out(self, action: Any) -> None:
        match action:
            case Send(request, backend, timeout_ms):
                exchange = self.open.get(request)
                if exchange is None:
                    self._never_sent(request, backend)
                    return
                attempt, exchange.attempts = exchange.attempts, exchange.attempts + 1
                self.counts["attempts"] += 1
                if (
                    self.recorder is not None
                    and not attempt
                    and self.gateway.settings.plans[exchange.plan].ceiling_rate
                ):
                    self.recorder.spent(exchange.customer, exchange.plan, exchange.width, exchange.units)
                assert self.sender is not None
                self.sender.start(exchange, attempt, self.fleet.get(backend), backend, timeout_ms)
            case Refuse(request, retry_after_ms, why):
                if (exchange := self.open.get(request)) is not None:
                    if self.recorder is not None:
                        self.recorder.refused(
                            exchange.customer, exchange.plan, exchange.width, self.now + retry_after_ms
                        )
                    self._finish(exchange, Refused(retry_after_ms, why))
            case Fail(request):
                if (exchange := self.open.get(request)) is not None:
                    self._finish(exchange, Failed(self.clock() >= exchange.give_up_ms - 1))
            case Count():
                if self.count is not None:
                    self.count(action)
                else:
                    self.events.append(CountAnswered(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
            case Cancel(request, attempt):
                assert self.sender is not None
                self.sender.cancel(request, attempt)
            case SetTimer(after_ms, label):
                gevent.spawn_later(after_ms / 1000, self.post, TimerFired(label))
            case Log(text):
                self.log("module.says", text=text)
            case _:
                self.log("core.not_supported", action=type(action).__name__)

    def _never_sent(self, request: int, backend: int) -> None:
        """Decided before the module heard that nobody waits; without an outcome it would be out for ever."""
        if (exchange := self.withdrawn.get(request)) is None:
            self.log("core.send_after_end", request=request)
            return
        attempt, exchange.attempts = exchange.attempts, exchange.attempts + 1
        self.counts["moot"] += 1
        self.events.append(AttemptEnded(request, attempt, backend, Outcome.MOOT, 0.0, True))

    def _finish(self, exchange: Exchange, final: Final) -> bool:
        if not exchange.finish(final):
            return False
        self.open.pop(exchange.number, None)
        self.counts[_KINDS[type(final)]] += 1
        if isinstance(final, Refused):
            self.counts["refused_" + final.why.value] += 1
        if not isinstance(final, Lapsed):  # nobody knows whether that still runs: its lease lasts its time
            self.limits.end(exchange.number, self.clock())
        return True
