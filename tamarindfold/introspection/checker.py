"""Decides about tokens: what is known, what is asked, who waits for it and what they are told.

No I/O and no clock. Hand it every event and carry out the actions; tokens are named by their digest.
Times are milliseconds since the epoch, as `exp` counts (RFC 7662 section 2.2).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random

from tamarindfold.introspection.claims import Claims, fault

REFRESH_AT = 0.8  # of an answer's life: a token still in use is asked about again before the answer ages out
REFRESH_PART = 0.5  # of the look-ups in flight: what refreshing may take, so that new tokens come first
SPREAD = 1.0  # of a waiting time: added at random, so that those turned away don't come back together


@dataclass(frozen=True, slots=True)
class Rules:
    """The checker's bounds; see `config.model.Introspection` for each."""

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
class Asked:
    """A request came with this token; stale_ok: its class takes an aged answer where no new one comes."""

    key: bytes
    waiter: int
    stale_ok: bool = False


@dataclass(frozen=True, slots=True)
class GaveUp:
    """A waiter's time is over."""

    key: bytes
    waiter: int


@dataclass(frozen=True, slots=True)
class LookedUp:
    """The server's word on a token: claims, or None for an inactive one."""

    key: bytes
    claims: Claims | None


@dataclass(frozen=True, slots=True)
class LookUpFailed:
    """No word: late, unreachable, an error, or an answer that says nothing."""

    key: bytes
    reason: str


Event = Asked | GaveUp | LookedUp | LookUpFailed


# ---- actions


@dataclass(frozen=True, slots=True)
class Active:
    """The token is good now; stale: by an answer past its age."""

    claims: Claims
    stale: bool = False


@dataclass(frozen=True, slots=True)
class Inactive:
    """The token is no good, and why."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Nobody could say; coming back after this time is harmless."""

    reason: str
    retry_after_ms: float


Word = Active | Inactive | Unknown


@dataclass(frozen=True, slots=True)
class Tell:
    """The one answer to an Asked."""

    waiter: int
    word: Word


@dataclass(frozen=True, slots=True)
class LookUp:
    """Ask the server; one LookedUp or LookUpFailed is owed."""

    key: bytes
    timeout_ms: float


Action = Tell | LookUp


@dataclass(slots=True)
class _Known:
    claims: Claims | None
    got_at: float
    until: float


@dataclass(slots=True)
class _Pending:
    """A look-up in flight or queued; waiters by number, with their stale_ok."""

    waiters: dict[int, bool] = field(default_factory=dict)
    in_flight: bool = False


class TokenChecker:
    """Joins look-ups, keeps answers within their life, and holds back from a server that gives none."""

    def __init__(self, rules: Rules, seed: int) -> None:
        self.rules, self.random = rules, Random(seed)
        # two tables, so that a flood of invented tokens cannot push the good ones out
        self.good: OrderedDict[bytes, _Known] = OrderedDict()
        self.bad: OrderedDict[bytes, _Known] = OrderedDict()
        self.pending: dict[bytes, _Pending] = {}
        self.queue: OrderedDict[bytes, None] = OrderedDict()
        self.in_flight = self.waiting = self.failures = 0
        self.held_until, self.hold_ms = 0.0, 0.0
        self.counts = dict.fromkeys(
            ("hits", "misses", "joined", "refreshed", "stale", "failed", "turned_away"), 0
        )
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event; the actions are to be carried out in order."""
        self.actions = []
        match event:
            case Asked():
                self._asked(now, event)
            case GaveUp():
                self._gave_up(now, event)
            case LookedUp():
                self._looked_up(now, event)
            case LookUpFailed():
                self._failed(now, event)
        return self.actions

    # ---- what is known

    def _kept(self, now: float, key: bytes) -> _Known | None:
        """A fresh answer; what ran out is dropped, unless it may still serve stale."""
        table = self.good if key in self.good else self.bad
        known = table.get(key)
        if known is None:
            return None
        if now < known.until:
            table.move_to_end(key)
            return known
        if known.claims is None or now >= min(known.claims.expires_ms, known.until + self.rules.stale_ms):
            del table[key]
        return None

    def _word(self, now: float, claims: Claims | None) -> Word:
        rules = self.rules
        if claims is None:
            return Inactive("the token is not active")
        if reason := fault(claims, now, rules.audience, rules.issuer, rules.leeway_ms):
            return Inactive(reason)
        return Active(claims)

    def _keep(self, now: float, key: bytes, claims: Claims | None) -> None:
        """Keep an answer for its life: never past exp, and a no (or a not yet) only shortly."""
        rules, good = self.rules, isinstance(self._word(now, claims), Active)
        self.good.pop(key, None)
        self.bad.pop(key, None)
        life = rules.max_age_ms if good else rules.negative_age_ms
        until = now + life
        if claims is not None:
            until = min(until, claims.expires_ms) if good else until
            if not good and now < claims.not_before_ms:
                until = min(until, claims.not_before_ms - rules.leeway_ms)
        table, most = (self.good, rules.cache_entries) if good else (self.bad, rules.negative_entries)
        if until > now:
            table[key] = _Known(claims, now, until)
            while len(table) > most:
                table.popitem(last=False)

    # ---- who asks

    def _asked(self, now: float, event: Asked) -> None:
        known = self._kept(now, event.key)
        if known is not None:
            self.counts["hits"] += 1
            self.actions.append(Tell(event.waiter, self._word(now, known.claims)))
            if known.claims is not None and now > known.got_at + REFRESH_AT * (known.until - known.got_at):
                self._refresh(now, event.key, known)
            return
        if (pending := self.pending.get(event.key)) is not None and self.waiting < self.rules.most_waiting:
            self.counts["joined"] += 1
            pending.waiters[event.waiter] = event.stale_ok
            self.waiting += 1
            return
        if now < self.held_until:
            return self._turn_away(now, event.key, event.waiter, event.stale_ok, "the token check is down")
        if self.waiting >= self.rules.most_waiting:
            reason = "too many wait for a token check"
            return self._turn_away(now, event.key, event.waiter, event.stale_ok, reason)
        self.counts["misses"] += 1
        self.pending[event.key] = _Pending({event.waiter: event.stale_ok})
        self.waiting += 1
        self.queue[event.key] = None
        self._start()

    def _refresh(self, now: float, key: bytes, known: _Known) -> None:
        """Ask again ahead of time, where there is room; an answer that can't be renewed past exp is left."""
        assert known.claims is not None
        room = self.in_flight < REFRESH_PART * self._most() and not self.queue
        renewable = now >= self.held_until and known.until < known.claims.expires_ms
        if room and renewable and key not in self.pending:
            self.counts["refreshed"] += 1
            self.pending[key] = _Pending()
            self.queue[key] = None
            self._start()

    def _most(self) -> int:
        """Look-ups that may be out: after a run of failures one, to see whether the server is back."""
        return 1 if self.failures >= self.rules.trip_after else self.rules.most_in_flight

    def _start(self) -> None:
        while self.queue and self.in_flight < self._most():
            key, _ = self.queue.popitem(last=False)
            self.pending[key].in_flight = True
            self.in_flight += 1
            self.actions.append(LookUp(key, self.rules.timeout_ms))

    def _turn_away(self, now: float, key: bytes, waiter: int, stale_ok: bool, reason: str) -> None:
        """No word to be had: an aged yes for classes that take it, else fail closed."""
        aged = self.good.get(key) if stale_ok else None
        if aged is not None and now < aged.until + self.rules.stale_ms:
            word = self._word(now, aged.claims)
            if isinstance(word, Active):
                self.counts["stale"] += 1
                self.actions.append(Tell(waiter, Active(word.claims, True)))
                return
        self.counts["turned_away"] += 1
        wait = max(self.held_until - now, self.rules.trip_ms)
        self.actions.append(Tell(waiter, Unknown(reason, wait * (1 + SPREAD * self.random.random()))))

    def _gave_up(self, now: float, event: GaveUp) -> None:
        pending = self.pending.get(event.key)
        if pending is None or event.waiter not in pending.waiters:
            return  # told in the same moment
        stale_ok = pending.waiters.pop(event.waiter)
        self.waiting -= 1
        if not pending.waiters and not pending.in_flight:  # nobody is left to ask for
            del self.pending[event.key], self.queue[event.key]
        self._turn_away(now, event.key, event.waiter, stale_ok, "the token check took too long")

    # ---- what the server says

    def _settled(self, key: bytes) -> _Pending | None:
        pending = self.pending.get(key)
        if pending is None or not pending.in_flight:
            return None
        del self.pending[key]
        self.in_flight -= 1
        self.waiting -= len(pending.waiters)
        return pending

    def _looked_up(self, now: float, event: LookedUp) -> None:
        pending = self._settled(event.key)
        if pending is None:
            return
        self.failures, self.hold_ms, self.held_until = 0, 0.0, 0.0
        self._keep(now, event.key, event.claims)
        word = self._word(now, event.claims)
        self.actions += [Tell(waiter, word) for waiter in pending.waiters]
        self._start()

    def _failed(self, now: float, event: LookUpFailed) -> None:
        """A failure is told to those who waited for it; a run of them holds all back for a while."""
        pending = self._settled(event.key)
        if pending is None:
            return
        self.counts["failed"] += 1
        self.failures += 1
        if self.failures >= self.rules.trip_after and now >= self.held_until:
            self.hold_ms = min(self.rules.trip_most_ms, self.hold_ms * 2 or self.rules.trip_ms)
            self.held_until = now + self.hold_ms * (0.5 + 0.5 * self.random.random())
        for waiter, stale_ok in pending.waiters.items():
            self._turn_away(now, event.key, waiter, stale_ok, event.reason)
        if now < self.held_until:
            for key in self.queue:  # nothing more is asked for now: who queues hears it at once
                queued = self.pending.pop(key)
                self.waiting -= len(queued.waiters)
                for waiter, stale_ok in queued.waiters.items():
                    self._turn_away(now, key, waiter, stale_ok, "the token check is down")
            self.queue.clear()
        self._start()
