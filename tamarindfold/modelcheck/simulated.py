"""Keepers and hundreds of instances in simulated time: the real objects, delays, and a cost for each answer.

Not a search: one run from a seed, for figures at sizes that one machine's processes do not reach.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from tamarindfold.agreement.consensus import (
    Action,
    EntriesChosen,
    DurableState,
    HeartbeatReply,
    Keeper,
    Outcome,
    Send,
)
from tamarindfold.agreement.document import Document
from tamarindfold.agreement.lease import Lease, RenewRequest, RenewReply
from tamarindfold.agreement.log import Body, Newcomer, Proposed
from tamarindfold.agreement.reports import Report, Reports
from tamarindfold.agreement.reconciler import Reconciler

TICK_MS = 10.0
WAITS = 8  # questions in a window, as agreement.driver asks them


class SimulatedFleet:
    """Runs until told otherwise; `now` is simulated milliseconds."""

    def __init__(
        self,
        instances: int,
        keepers: int,
        seed: int,
        link_ms: tuple[float, float],
        answer_ms: float,
        sync_ms: float,
    ) -> None:
        """link_ms: least and most delay of a message; answer_ms: a keeper's work for one answer."""
        self.now, self.random, self.order = 0.0, Random(seed), count()
        self.link_ms, self.answer_ms, self.sync_ms = link_ms, answer_ms, sync_ms
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.keepers = [Keeper(k, keepers, DurableState(), seed + k, 0.0) for k in range(keepers)]
        self.reports = [Reports() for _ in range(keepers)]
        self.stewards = [Reconciler(reports) for reports in self.reports]
        self.led = [False] * keepers
        self.busy = [0.0] * keepers  # until when each is at work
        self.waiting: list[list[tuple[int, RenewRequest]]] = [[] for _ in range(keepers)]
        self.leases = [Lease(f"{i:08x}", f"i{i}", keepers) for i in range(instances)]
        self.version = [0] * instances
        self.share = [0.0] * instances
        self.cut: set[int] = set()  # instances that reach no keeper
        self.taken: dict[int, list[float]] = {}  # by version: when each instance began to act on it
        self.outcomes: dict[int, Outcome] = {}
        self.over_whole = 0.0  # the most by which all shares together passed the whole
        self.unled = 0
        for k, keeper in enumerate(self.keepers):
            self._do(k, keeper.begin(0.0))
            self._at(TICK_MS, self._tick, k)
        for i in range(instances):
            for k in range(keepers):
                self._at(self.random.random() * 100, self._ask, i, k)

    def _at(self, after_ms: float, call: Callable[..., None], *args: Any) -> None:
        heappush(self.heap, (self.now + after_ms, next(self.order), call, args))

    def _link(self) -> float:
        return self.random.uniform(*self.link_ms)

    def run(self, until: Callable[[], bool], most_ms: float) -> bool:
        """Until it holds; False where the time ran out first."""
        end = self.now + most_ms
        while self.heap and self.now < end:
            if until():
                return True
            at, _, call, args = heappop(self.heap)
            self.now = max(self.now, at)
            call(*args)
        return until()

    # ---- keepers

    def _tick(self, k: int) -> None:
        self._at(TICK_MS, self._tick, k)
        keeper = self.keepers[k]
        self._do(k, keeper.tick(self.now))
        if keeper.leads != self.led[k]:
            self.led[k] = keeper.leads
            self.stewards[k].reset_waits(self.now)
        if keeper.leads and keeper.proposal is None:
            due = self.stewards[k].next_entry(self.now, keeper.state)
            if due is not None:
                self._do(k, keeper.submit(self.now, 0, due))

    def _do(self, k: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                what = action.message
                if isinstance(what, HeartbeatReply):
                    what = HeartbeatReply(what.ballot, what.number, self.reports[k].take_unsent(self.now))
                self._at(self._link() + self.sync_ms, self._hear, action.to, k, what)
            elif isinstance(action, Outcome):
                self.outcomes[action.ticket] = action
            elif isinstance(action, EntriesChosen):
                waiting, self.waiting[k] = self.waiting[k], []
                for i, asked in waiting:
                    self._answer(k, i, asked)

    def _hear(self, k: int, sender: int, what: Any) -> None:
        if isinstance(what, HeartbeatReply):
            self.reports[k].merge(self.now, what.reports)
        self._do(k, self.keepers[k].receive(self.now, sender, what))

    def offer(self, ticket: int, body: Body) -> bool:
        """Hand the leader something; False where nobody leads."""
        for k, keeper in enumerate(self.keepers):
            if keeper.leads:
                self._do(k, keeper.submit(self.now, ticket, body))
                return True
        return False

    def propose(self, ticket: int, document: Document) -> bool:
        """A version made from the newest."""
        leader = next((k for k in self.keepers if k.leads), None)
        return leader is not None and self.offer(
            ticket, Proposed(document, leader.state.newest, "sim", "", f"t{ticket}", self.now)
        )

    # ---- instances

    def _ask(self, i: int, k: int) -> None:
        if i in self.cut:
            self._at(200.0, self._ask, i, k)
            return
        lease = self.leases[i]
        asked = lease.renew_request(self.now, lease.state.terms.window_ms / WAITS)
        self._at(self._link(), self._asked, k, i, asked)

    def _asked(self, k: int, i: int, asked: RenewRequest) -> None:
        keeper = self.keepers[k]
        if not keeper.recovered:
            self._at(100.0, self._ask, i, k)
            return
        self.reports[k].record(
            self.now,
            Report(
                asked.incarnation,
                asked.name,
                asked.number,
                asked.ready_version,
                asked.apply_error,
                asked.intent,
            ),
        )
        if asked.number == keeper.number and keeper.certain and asked.intent == "stay":
            self.waiting[k].append((i, asked))
            self._at(asked.wait_ms, self._waited, k, i, asked)
        else:
            self._answer(k, i, asked)

    def _waited(self, k: int, i: int, asked: RenewRequest) -> None:
        if (i, asked) in self.waiting[k]:
            self.waiting[k].remove((i, asked))
            self._answer(k, i, asked)

    def _answer(self, k: int, i: int, asked: RenewRequest) -> None:
        keeper = self.keepers[k]
        self.busy[k] = max(self.busy[k], self.now) + self.answer_ms
        answer = RenewReply(
            asked.sent,
            keeper.number,
            keeper.certain,
            asked.incarnation in keeper.state.members,
            False,
            keeper.state.join_error(Newcomer(asked.name, asked.incarnation)),
            keeper.catch_up_since(asked.number),
        )
        self._at(self.busy[k] - self.now + self._link(), self._answered, i, k, answer)

    def _answered(self, i: int, k: int, answer: RenewReply) -> None:
        lease = self.leases[i]
        if i not in self.cut:
            lease.handle_reply(k, answer)
            if lease.state.queue:
                lease.ready_version, lease.apply_error = lease.state.queue[0].version, ""
        self.look(i)
        wait = 0.0 if lease.has_lease else lease.state.terms.window_ms / WAITS / 4
        self._at(wait, self._ask, i, k)

    def look(self, i: int) -> None:
        """What an instance acts on now."""
        acting = self.leases[i].effective_settings(self.now)
        if acting is None or not acting.share:
            return
        if not acting.has_lease:
            self.unled += 1
        if acting.has_lease and acting.version != self.version[i]:
            self.version[i] = acting.version
            self.taken.setdefault(acting.version, []).append(self.now)
        self.share[i] = acting.share

    def weigh(self) -> None:
        """Look at all, and at what they act on together."""
        for i in range(len(self.leases)):
            self.look(i)
        self.over_whole = max(self.over_whole, sum(self.share) - 1)

    @property
    def acting(self) -> int:
        """How many act under a lease."""
        return sum(lease.has_lease for lease in self.leases)
