"""The state machine of token checks: caching, coalescing of lookups, and a circuit breaker.

It does no I/O and reads no clock: the caller hands in each event with the current time and carries out the
returned actions in order. Tokens are identified by their digest. Times are milliseconds since the epoch, like
the `exp` claim (RFC 7662 section 2.2).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random

from tamarindfold.introspection.claims import Claims, validity_error

REFRESH_AGE_RATIO = 0.8  # of an answer's lifetime, after which a token in use is looked up again
REFRESH_SHARE = 0.5  # of the lookups in flight: the limit for refreshes, so that new tokens have precedence
RETRY_JITTER = 1.0  # of the retry delay: the largest random addition, which spreads rejected clients out


@dataclass(frozen=True, slots=True)
class Rules:
    """The checker's limits; `config.model.Introspection` describes each."""

    audience: str = ""
    issuer: str = ""
    timeout_ms: float = 1_000
    most_in_flight: int = 8
    most_waiting: int = 2_000
    cache_entries: int = 20_000
    negative_entries: int = 5_000
    max_age_ms: float = 30_000
    negative_age_ms: float = 5_000
    stale_ms: float = 0
    leeway_ms: float = 0
    trip_after: int = 5
    trip_ms: float = 500
    trip_most_ms: float = 8_000


# ---- events


@dataclass(frozen=True, slots=True)
class CheckRequested:
    """A request needs this token checked.

    stale_ok: the request's class accepts an expired cached answer if no new one can be had.
    """

    key: bytes
    waiter: int
    stale_ok: bool = False


@dataclass(frozen=True, slots=True)
class WaiterTimedOut:
    """A waiter's deadline has passed."""

    key: bytes
    waiter: int


@dataclass(frozen=True, slots=True)
class LookUpSucceeded:
    """The server's answer about a token: its claims, or None if it is inactive."""

    key: bytes
    claims: Claims | None


@dataclass(frozen=True, slots=True)
class LookUpFailed:
    """No usable answer: a time-out, a connection error, an error status or a malformed answer."""

    key: bytes
    reason: str


Event = CheckRequested | WaiterTimedOut | LookUpSucceeded | LookUpFailed


# ---- actions


@dataclass(frozen=True, slots=True)
class Active:
    """The token is valid now. stale: according to a cached answer that has expired."""

    claims: Claims
    stale: bool = False


@dataclass(frozen=True, slots=True)
class Inactive:
    """The token is not valid, with the reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The token could not be checked; the client may retry after the delay."""

    reason: str
    retry_after_ms: float


TokenStatus = Active | Inactive | Unknown


@dataclass(frozen=True, slots=True)
class Notify:
    """Give a waiter its result; each CheckRequested gets exactly one."""

    waiter: int
    status: TokenStatus


@dataclass(frozen=True, slots=True)
class LookUp:
    """Query the server; exactly one LookUpSucceeded or LookUpFailed must follow."""

    key: bytes
    timeout_ms: float


Action = Notify | LookUp


@dataclass(slots=True)
class _CachedAnswer:
    claims: Claims | None
    received_at: float
    expires_at: float


@dataclass(slots=True)
class _PendingLookUp:
    """A lookup in flight or queued. waiters: the stale_ok of each, by its number."""

    waiters: dict[int, bool] = field(default_factory=dict)
    in_flight: bool = False


class TokenChecker:
    """Coalesces lookups, caches their answers, and stops asking a server that keeps failing."""

    def __init__(self, rules: Rules, seed: int) -> None:
        self.rules, self.random = rules, Random(seed)
        # two caches, so that a flood of invented tokens cannot evict valid ones
        self.active_cache: OrderedDict[bytes, _CachedAnswer] = OrderedDict()
        self.negative_cache: OrderedDict[bytes, _CachedAnswer] = OrderedDict()
        self.pending: dict[bytes, _PendingLookUp] = {}
        self.queue: OrderedDict[bytes, None] = OrderedDict()
        self.in_flight = self.waiting = self.failures = 0
        self.open_until, self.open_ms = 0.0, 0.0  # the circuit breaker
        self.counts = dict.fromkeys(
            ("hits", "misses", "joined", "refreshed", "stale", "failed", "turned_away"), 0
        )
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event; the actions are to be carried out in order."""
        self.actions = []
        match event:
            case CheckRequested():
                self._check_requested(now, event)
            case WaiterTimedOut():
                self._waiter_timed_out(now, event)
            case LookUpSucceeded():
                self._look_up_succeeded(now, event)
            case LookUpFailed():
                self._look_up_failed(now, event)
        return self.actions

    # ---- caches

    def _cached(self, now: float, key: bytes) -> _CachedAnswer | None:
        """A fresh cached answer. An expired one is evicted, unless it may still be served stale."""
        cache = self.active_cache if key in self.active_cache else self.negative_cache
        answer = cache.get(key)
        if answer is None:
            return None
        if now < answer.expires_at:
            cache.move_to_end(key)
            return answer
        if answer.claims is None or now >= min(
            answer.claims.expires_ms, answer.expires_at + self.rules.stale_ms
        ):
            del cache[key]
        return None

    def _status(self, now: float, claims: Claims | None) -> TokenStatus:
        rules = self.rules
        if claims is None:
            return Inactive("the token is not active")
        if reason := validity_error(claims, now, rules.audience, rules.issuer, rules.leeway_ms):
            return Inactive(reason)
        return Active(claims)

    def _store(self, now: float, key: bytes, claims: Claims | None) -> None:
        """Cache an answer, never past `exp`.

        A negative answer is kept for the shorter negative age. If the token is not valid yet, it is kept at
        most until `nbf` less the leeway.
        """
        rules, active = self.rules, isinstance(self._status(now, claims), Active)
        self.active_cache.pop(key, None)
        self.negative_cache.pop(key, None)
        lifetime_ms = rules.max_age_ms if active else rules.negative_age_ms
        expires_at = now + lifetime_ms
        if claims is not None:
            expires_at = min(expires_at, claims.expires_ms) if active else expires_at
            if not active and now < claims.not_before_ms:
                expires_at = min(expires_at, claims.not_before_ms - rules.leeway_ms)
        cache, max_entries = (
            (self.active_cache, rules.cache_entries)
            if active
            else (self.negative_cache, rules.negative_entries)
        )
        if expires_at > now:
            cache[key] = _CachedAnswer(claims, now, expires_at)
            while len(cache) > max_entries:
                cache.popitem(last=False)

    # ---- requests

    def _check_requested(self, now: float, event: CheckRequested) -> None:
        cached = self._cached(now, event.key)
        if cached is not None:
            self.counts["hits"] += 1
            self.actions.append(Notify(event.waiter, self._status(now, cached.claims)))
            if cached.claims is not None and now > cached.received_at + REFRESH_AGE_RATIO * (
                cached.expires_at - cached.received_at
            ):
                self._refresh(now, event.key, cached)
            return
        if (pending := self.pending.get(event.key)) is not None and self.waiting < self.rules.most_waiting:
            self.counts["joined"] += 1
            pending.waiters[event.waiter] = event.stale_ok
            self.waiting += 1
            return
        if now < self.open_until:
            return self._reject(now, event.key, event.waiter, event.stale_ok, "the token check is down")
        if self.waiting >= self.rules.most_waiting:
            reason = "too many wait for a token check"
            return self._reject(now, event.key, event.waiter, event.stale_ok, reason)
        self.counts["misses"] += 1
        self.pending[event.key] = _PendingLookUp({event.waiter: event.stale_ok})
        self.waiting += 1
        self.queue[event.key] = None
        self._start()

    def _refresh(self, now: float, key: bytes, cached: _CachedAnswer) -> None:
        """Look a token up before its cached answer expires, if there is capacity.

        An answer that already lasts until `exp` is not refreshed: a new one could not last longer.
        """
        assert cached.claims is not None
        has_capacity = self.in_flight < REFRESH_SHARE * self._max_in_flight() and not self.queue
        renewable = now >= self.open_until and cached.expires_at < cached.claims.expires_ms
        if has_capacity and renewable and key not in self.pending:
            self.counts["refreshed"] += 1
            self.pending[key] = _PendingLookUp()
            self.queue[key] = None
            self._start()

    def _max_in_flight(self) -> int:
        """The limit of concurrent lookups; after repeated failures it is 1, to probe for a recovery."""
        return 1 if self.failures >= self.rules.trip_after else self.rules.most_in_flight

    def _start(self) -> None:
        while self.queue and self.in_flight < self._max_in_flight():
            key, _ = self.queue.popitem(last=False)
            self.pending[key].in_flight = True
            self.in_flight += 1
            self.actions.append(LookUp(key, self.rules.timeout_ms))

    def _reject(self, now: float, key: bytes, waiter: int, stale_ok: bool, reason: str) -> None:
        """No answer can be had: serve a stale positive one if the class accepts it, else fail closed."""
        stale = self.active_cache.get(key) if stale_ok else None
        if stale is not None and now < stale.expires_at + self.rules.stale_ms:
            status = self._status(now, stale.claims)
            if isinstance(status, Active):
                self.counts["stale"] += 1
                self.actions.append(Notify(waiter, Active(status.claims, True)))
                return
        self.counts["turned_away"] += 1
        delay_ms = max(self.open_until - now, self.rules.trip_ms)
        self.actions.append(
            Notify(waiter, Unknown(reason, delay_ms * (1 + RETRY_JITTER * self.random.random())))
        )

    def _waiter_timed_out(self, now: float, event: WaiterTimedOut) -> None:
        pending = self.pending.get(event.key)
        if pending is None or event.waiter not in pending.waiters:
            return  # already notified
        stale_ok = pending.waiters.pop(event.waiter)
        self.waiting -= 1
        if not pending.waiters and not pending.in_flight:  # no one waits for the queued lookup any more
            del self.pending[event.key], self.queue[event.key]
        self._reject(now, event.key, event.waiter, stale_ok, "the token check took too long")

    # ---- results of lookups

    def _take_in_flight(self, key: bytes) -> _PendingLookUp | None:
        """Remove and return the lookup in flight for this token; None if there is none."""
        pending = self.pending.get(key)
        if pending is None or not pending.in_flight:
            return None
        del self.pending[key]
        self.in_flight -= 1
        self.waiting -= len(pending.waiters)
        return pending

    def _look_up_succeeded(self, now: float, event: LookUpSucceeded) -> None:
        pending = self._take_in_flight(event.key)
        if pending is None:
            return
        self.failures, self.open_ms, self.open_until = 0, 0.0, 0.0
        self._store(now, event.key, event.claims)
        status = self._status(now, event.claims)
        self.actions += [Notify(waiter, status) for waiter in pending.waiters]
        self._start()

    def _look_up_failed(self, now: float, event: LookUpFailed) -> None:
        """Reject the waiters of a failed lookup; repeated failures open the circuit breaker for a while."""
        pending = self._take_in_flight(event.key)
        if pending is None:
            return
        self.counts["failed"] += 1
        self.failures += 1
        if self.failures >= self.rules.trip_after and now >= self.open_until:
            self.open_ms = min(self.rules.trip_most_ms, self.open_ms * 2 or self.rules.trip_ms)
            self.open_until = now + self.open_ms * (0.5 + 0.5 * self.random.random())
        for waiter, stale_ok in pending.waiters.items():
            self._reject(now, event.key, waiter, stale_ok, event.reason)
        if now < self.open_until:
            for key in self.queue:  # no lookup starts while the breaker is open: reject the queue at once
                queued = self.pending.pop(key)
                self.waiting -= len(queued.waiters)
                for waiter, stale_ok in queued.waiters.items():
                    self._reject(now, key, waiter, stale_ok, "the token check is down")
            self.queue.clear()
        self._start()
