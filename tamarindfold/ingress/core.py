"""Connects the drivers (sockets, timers, counter) to the decision module `tamarindfold.choice.Gateway`.

`Core` is the only caller of the decision module. It passes events to it one at a time and executes the
actions that it returns.

A request can end for an outside reason (the client disconnects, its token or its time expires) while events
about it are still queued, which happens after the process was stalled. Such a request stays in `withdrawn`
until the decision module has processed the withdrawal. Until then every `Send` for it still gets an outcome,
and its arrival is skipped if the decision module has not seen it yet.
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
    ClientLeft,
    Exchange,
    Failed,
    Final,
    PermitLapsed,
    Refused,
    Served,
    TokenExpired,
)
from tamarindfold.interface import (
    AttemptEnded,
    BackendEntry,
    BackendState,
    Cancel,
    Count,
    CountAnswered,
    Event,
    ExternalUse,
    Fail,
    FleetUpdate,
    GatewayStalled,
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
    TimerFired,
    Why,
)
from tamarindfold.limits.open_requests import OpenRequestLimits

# Pause after a stall before queued events are processed: long enough to read all data pending on the sockets.
RESUME_DELAY_S = 0.003

_FINAL_COUNTERS: dict[type[Final], str] = {
    Served: "served",
    Refused: "refused",
    Failed: "failed",
    TokenExpired: "expired",
    ClientLeft: "left",
    PermitLapsed: "lapsed",
}


class Sender(Protocol):
    """Starts, runs and cancels attempts."""

    def start(
        self,
        exchange: Exchange,
        attempt: int,
        entry: BackendEntry | None,
        backend: int,
        timeout_ms: float,
        write_until_ms: float,
    ) -> None:
        """Start an attempt. `Core.attempt_ended` must be called exactly once for it, whatever happens."""

    def cancel(self, request: int, attempt: int) -> None:
        """Abort an attempt."""

    def forget(self, attempt: Any) -> None:
        """Remove an attempt that was not run here, such as one that a proxy carried out."""

    def run(self, attempt: Any) -> None:
        """Run a started attempt in the calling greenlet."""


class UsageRecorder(Protocol):
    """Persists quota use and announced retry times across restarts."""

    def record_spent_units(self, customer: int, plan: int, width: int, units: float) -> None:
        """Record units drawn from a customer's ceiling."""

    def record_refusal(self, customer: int, plan: int, width: int, back_at_ms: float) -> None:
        """Record a refusal and the time at which the client may retry."""

    def flush(self) -> None:
        """Write all recorded entries."""


class Core:
    """Passes events to the decision module in order and executes its actions. Event handling never nests."""

    def __init__(
        self,
        gateway: Gateway,
        clock: Callable[[], float],
        log: Callable[..., None],
        stall_ms: float = math.inf,
    ) -> None:
        self.gateway, self.clock, self.log = gateway, clock, log
        self.sender: Sender | None = None
        self.send_count: Callable[[Count], None] | None = None  # sends a call to the shared counter
        self.open_exchanges: dict[int, Exchange] = {}
        self.withdrawn: dict[int, Exchange] = {}  # ended, but the decision module has not processed it yet
        self.fleet: dict[int, BackendEntry] = {}
        # processed before all events in `events`
        self.priority_events: deque[FleetUpdate | SettingsChanged | GatewayStalled] = deque()
        self.events: deque[Event] = deque()
        self.processing = False
        self.stall_ms, self.last_turn_ms = stall_ms, clock()
        self.resumed = GeventEvent()  # cleared for RESUME_DELAY_S after a stall
        self.resumed.set()
        self.recorder: UsageRecorder | None = None
        # end of the lease on the settings, in milliseconds of time.monotonic(); None without a lease
        self.lease_until_ms: float | None = None
        self.on_lease_end: Callable[[], None] = lambda: None  # called before any further decision
        self.event_time_ms = 0.0  # when the event being processed was passed on, by the gateway clock
        self.is_credential_valid: Callable[[Any], bool] | None = None
        self.last_request_number = 0
        self.limits = OpenRequestLimits(gateway.settings.gateways, gateway.settings.index)
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
        """Counts of requests by outcome and the unit totals of the decision module, for the log."""
        units = {f"units_{name}": round(total, 1) for name, total in self.gateway.account.items()}
        return self.counts | units

    # ---- events from the drivers

    def submit(self, exchange: Exchange) -> None:
        """Post a request's arrival, or refuse it if the customer is at its limit of open requests."""
        self.open_exchanges[exchange.number] = exchange
        self.counts["arrived"] += 1
        gateways = self.gateway.settings.gateways
        if limit := self.gateway.settings.plans[exchange.plan].open_limit:
            now = self.clock()
            wait = self.limits.acquire(
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
                exchange.customer % gateways if exchange.first_gateway is None else exchange.first_gateway,
                exchange.width,
                max(0.0, exchange.give_up_ms - self.clock()),
                exchange.retry,
            )
        )

    def withdraw(self, exchange: Exchange, final: Final) -> None:
        """End a request for a reason outside the decision module.

        The client disconnected, its token expired or was revoked, or its time ran out.
        """
        if self._finish(exchange, final):
            if isinstance(final, ClientLeft):  # left_sent: an attempt was written before this was known
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
        first_byte_ms: float | None = None,
    ) -> None:
        """Record the outcome of an attempt, once for each; the first served response answers the client.

        elapsed_ms: from its start to its end. first_byte_ms: when its first byte was written, if known.
        """
        if outcome is Outcome.MOOT:
            self.counts["moot"] += 1
        if served is not None:
            self._finish(exchange, served)
        finished = exchange.final is not None
        self.post(
            AttemptEnded(
                exchange.number,
                attempt,
                backend,
                outcome,
                elapsed_ms,
                finished,
                None,
                true_units,
                report,
                first_byte_ms,
            )
        )

    def update_fleet(self, update: FleetUpdate) -> None:
        """Apply a change of the server list.

        It affects all later sends, including those that the decision module has already chosen.
        """
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            self.fleet.clear()
        for entry in update.entries:
            if entry.state is BackendState.GONE:
                self.fleet.pop(entry.backend, None)
            else:
                self.fleet[entry.backend] = entry
        self.priority_events.append(update)
        self._process_events()

    def apply_settings(self, settings: Settings, newcomer: bool) -> None:
        """Replace the settings in force.

        newcomer: this instance has just received its share of the quotas.
        """
        self.limits.resize(settings.gateways, settings.index)
        self.priority_events.append(SettingsChanged(settings, newcomer))
        self._process_events()

    def on_count_answered(self, answer: CountAnswered) -> None:
        """Handle the reply to one counter call."""
        self.post(answer)

    def record_unpermitted_use(self, customer: int, plan: int, units: float, width: int) -> None:
        """Count the units of a request that a proxy let through without a permit."""
        if self.recorder is not None and self.gateway.settings.plans[plan].ceiling_rate:
            self.recorder.record_spent_units(customer, plan, width, units)
        self.post(ExternalUse(customer, plan, units, width))

    def post(self, event: Event) -> None:
        """Queue an event for the decision module.

        It is processed at once unless another event is in progress or the delay after a stall is running.
        """
        self.on_loop_turn(False)
        self.events.append(event)
        self._process_events()

    # ---- stalls of the process

    def on_loop_turn(self, heartbeat: bool = True) -> None:
        """Check whether the lease has ended or the process was stalled.

        Called by a periodic heartbeat and before every decision. After a stall the responses, time-outs and
        requests of the whole interval are pending at once, possibly together with an update that drains a
        server. Therefore only priority events are processed until RESUME_DELAY_S has passed.
        """
        if self.lease_until_ms is not None and monotonic() * 1000 >= self.lease_until_ms:
            self.lease_until_ms = None
            self.on_lease_end()
        now = self.clock()
        elapsed_ms = now - self.last_turn_ms
        if elapsed_ms > self.stall_ms and self.resumed.is_set():
            self.resumed.clear()
            self.counts["stalls"] += 1
            self.log("instance.stood_still", for_ms=round(elapsed_ms), open=len(self.open_exchanges))
            self.priority_events.append(GatewayStalled(elapsed_ms))
            gevent.spawn(self._resume)
        if heartbeat or elapsed_ms > self.stall_ms:
            self.last_turn_ms = now

    def _resume(self) -> None:
        gevent.sleep(RESUME_DELAY_S)
        self.resumed.set()
        self._process_events()

    # ---- checks before an attempt is written

    def reason_not_to_send(
        self, exchange: Exchange, entry: BackendEntry | None, write_until_ms: float = math.inf
    ) -> str:
        """Why the first byte of an attempt must not be written; empty if it may be.

        Waits until the delay after a stall is over. Nothing yields after that wait, so the result still holds
        when the caller writes. write_until_ms: the limit that the decision module set.
        """
        self.on_loop_turn(False)
        if not self.resumed.is_set():
            self.resumed.wait()
        if exchange.check_client is not None:
            exchange.check_client()  # the client may have disconnected in this loop iteration
        if exchange.final is not None:
            return "request already answered"
        if self.clock() >= exchange.give_up_ms:
            return "deadline passed"
        if self.clock() >= write_until_ms:
            return "too late for this attempt"
        if entry is None:
            return "server not listed"
        current = self.fleet.get(entry.backend)
        if current is None or current.state is not BackendState.READY:
            return "server draining or gone"
        if current.up_since_ms != entry.up_since_ms:
            return "server restarted"  # now cold, while the decision module assumed a warm process
        revoked = (
            exchange.credential is not None
            and self.is_credential_valid is not None
            and not self.is_credential_valid(exchange.credential)
        )
        if revoked or self.clock() >= exchange.token_until_ms:
            # If nothing was written the client can safely retry with a new token; else the outcome is
            # unknown.
            self.withdraw(exchange, Failed(False) if exchange.written else TokenExpired())
            return "token expired or revoked"
        return ""

    # ---- the decision module

    def _process_events(self) -> None:
        if self.processing:
            return
        self.processing = True
        try:
            while self.priority_events or (self.events and self.resumed.is_set()):
                event: Event = (
                    self.priority_events.popleft() if self.priority_events else self.events.popleft()
                )
                if isinstance(event, RequestArrived) and event.request in self.withdrawn:
                    continue
                self.event_time_ms = self.clock()
                for action in self.gateway.handle(self.event_time_ms, event):
                    self._execute(action)
                if isinstance(event, RequestWithdrawn):
                    self.withdrawn.pop(event.request, None)
        finally:
            self.processing = False
            if self.recorder is not None:
                self.recorder.flush()  # before any other greenlet can act on the decisions

    def _execute(self, action: Any) -> None:
        match action:
            case Send(request, backend, timeout_ms, write_until_ms):
                exchange = self.open_exchanges.get(request)
                if exchange is None:
                    self._report_unsent(request, backend)
                    return
                attempt, exchange.attempts = exchange.attempts, exchange.attempts + 1
                self.counts["attempts"] += 1
                if (
                    self.recorder is not None
                    and not attempt
                    and self.gateway.settings.plans[exchange.plan].ceiling_rate
                ):
                    self.recorder.record_spent_units(
                        exchange.customer, exchange.plan, exchange.width, exchange.units
                    )
                assert self.sender is not None
                entry = self.fleet.get(backend)
                self.sender.start(exchange, attempt, entry, backend, timeout_ms, write_until_ms)
            case Refuse(request, retry_after_ms, why):
                if (exchange := self.open_exchanges.get(request)) is not None:
                    if self.recorder is not None:
                        self.recorder.record_refusal(
                            exchange.customer,
                            exchange.plan,
                            exchange.width,
                            self.event_time_ms + retry_after_ms,
                        )
                    self._finish(exchange, Refused(retry_after_ms, why))
            case Fail(request):
                if (exchange := self.open_exchanges.get(request)) is not None:
                    self._finish(exchange, Failed(self.clock() >= exchange.give_up_ms - 1))
            case Count():
                if self.send_count is not None:
                    self.send_count(action)
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

    def _report_unsent(self, request: int, backend: int) -> None:
        """Report a Send for a withdrawn request as not sent; without an outcome it would stay outstanding."""
        if (exchange := self.withdrawn.get(request)) is None:
            self.log("core.send_after_end", request=request)
            return
        attempt, exchange.attempts = exchange.attempts, exchange.attempts + 1
        self.counts["moot"] += 1
        self.events.append(AttemptEnded(request, attempt, backend, Outcome.MOOT, 0.0, True))

    def _finish(self, exchange: Exchange, final: Final) -> bool:
        if not exchange.finish(final):
            return False
        self.open_exchanges.pop(exchange.number, None)
        self.counts[_FINAL_COUNTERS[type(final)]] += 1
        if isinstance(final, Refused):
            self.counts["refused_" + final.why.value] += 1
        # A request whose permit lapsed may still be running: it counts as open until its deadline.
        if not isinstance(final, PermitLapsed):
            self.limits.release(exchange.number, self.clock())
        return True
