"""A discrete-event simulation of keepers and hundreds of instances, using the production objects.

Messages have random delays, and each reply and disk write takes time. A run is determined by its seed. It
gives measurements for fleets that are too large to run as processes on one machine.
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
POLLS_PER_WINDOW = 8  # long polls per lease window, as in agreement.driver


class SimulatedFleet:
    """A simulated fleet; `now` is the simulated time in milliseconds.

    In its methods `k` is the index of a keeper, and `i` that of an instance.
    """

    def __init__(
        self,
        instances: int,
        keepers: int,
        seed: int,
        link_ms: tuple[float, float],
        answer_ms: float,
        sync_ms: float,
    ) -> None:
        """Create a fleet; its keepers start at once and its instances within the first 100 ms.

        link_ms: minimum and maximum delay of a message; answer_ms: a keeper's processing time per reply;
        sync_ms: time of a disk write.
        """
        self.now, self.random, self.sequence = 0.0, Random(seed), count()
        self.link_ms, self.answer_ms, self.sync_ms = link_ms, answer_ms, sync_ms
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.keepers = [Keeper(k, keepers, DurableState(), seed + k, 0.0) for k in range(keepers)]
        self.reports = [Reports() for _ in range(keepers)]
        self.reconcilers = [Reconciler(reports) for reports in self.reports]
        self.was_leader = [False] * keepers
        self.busy_until = [0.0] * keepers  # by keeper: when it has handled all requests so far
        self.long_polls: list[list[tuple[int, RenewRequest]]] = [[] for _ in range(keepers)]
        self.leases = [Lease(f"{i:08x}", f"i{i}", keepers) for i in range(instances)]
        self.versions = [0] * instances
        self.shares = [0.0] * instances
        self.partitioned: set[int] = set()  # instances that can reach no keeper
        self.applied_at: dict[int, list[float]] = {}  # by version: when instances applied it
        self.outcomes: dict[int, Outcome] = {}
        self.max_excess_share = 0.0  # the maximum by which the sum of all shares exceeded 1
        self.without_lease_count = 0  # checks of an instance that acted without a lease
        for k, keeper in enumerate(self.keepers):
            self._carry_out(k, keeper.begin(0.0))
            self._schedule(TICK_MS, self._run_timer, k)
        for i in range(instances):
            for k in range(keepers):
                self._schedule(self.random.random() * 100, self._send_request, i, k)

    def _schedule(self, after_ms: float, call: Callable[..., None], *args: Any) -> None:
        heappush(self.events, (self.now + after_ms, next(self.sequence), call, args))

    def _link_delay(self) -> float:
        return self.random.uniform(*self.link_ms)

    def run(self, condition: Callable[[], bool], max_ms: float) -> bool:
        """Run until the condition holds; False if it does not within `max_ms`."""
        end = self.now + max_ms
        while self.events and self.now < end:
            if condition():
                return True
            at, _, call, args = heappop(self.events)
            self.now = max(self.now, at)
            call(*args)
        return condition()

    # ---- keepers

    def _run_timer(self, k: int) -> None:
        self._schedule(TICK_MS, self._run_timer, k)
        keeper = self.keepers[k]
        self._carry_out(k, keeper.tick(self.now))
        if keeper.leads != self.was_leader[k]:
            self.was_leader[k] = keeper.leads
            self.reconcilers[k].reset_waits(self.now)
        if keeper.leads and keeper.proposal is None:
            entry = self.reconcilers[k].next_entry(self.now, keeper.state)
            if entry is not None:
                self._carry_out(k, keeper.submit(self.now, 0, entry))

    def _carry_out(self, k: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                message = action.message
                if isinstance(message, HeartbeatReply):
                    message = HeartbeatReply(
                        message.ballot, message.number, self.reports[k].take_unsent(self.now)
                    )
                self._schedule(self._link_delay() + self.sync_ms, self._on_message, action.to, k, message)
            elif isinstance(action, Outcome):
                self.outcomes[action.ticket] = action
            elif isinstance(action, EntriesChosen):
                pending, self.long_polls[k] = self.long_polls[k], []
                for i, request in pending:
                    self._send_reply(k, i, request)

    def _on_message(self, k: int, sender: int, message: Any) -> None:
        if isinstance(message, HeartbeatReply):
            self.reports[k].merge(self.now, message.reports)
        self._carry_out(k, self.keepers[k].receive(self.now, sender, message))

    def submit(self, ticket: int, body: Body) -> bool:
        """Submit an entry to the leader; False if there is none."""
        for k, keeper in enumerate(self.keepers):
            if keeper.leads:
                self._carry_out(k, keeper.submit(self.now, ticket, body))
                return True
        return False

    def propose(self, ticket: int, document: Document) -> bool:
        """Propose a version based on the newest one; False if there is no leader."""
        leader = next((k for k in self.keepers if k.leads), None)
        return leader is not None and self.submit(
            ticket, Proposed(document, leader.state.newest, "sim", "", f"t{ticket}", self.now)
        )

    # ---- instances

    def _send_request(self, i: int, k: int) -> None:
        if i in self.partitioned:
            self._schedule(200.0, self._send_request, i, k)
            return
        lease = self.leases[i]
        request = lease.renew_request(self.now, lease.state.terms.window_ms / POLLS_PER_WINDOW)
        self._schedule(self._link_delay(), self._on_request, k, i, request)

    def _on_request(self, k: int, i: int, request: RenewRequest) -> None:
        keeper = self.keepers[k]
        if not keeper.recovered:
            self._schedule(100.0, self._send_request, i, k)
            return
        self.reports[k].record(
            self.now,
            Report(
                request.incarnation,
                request.name,
                request.number,
                request.ready_version,
                request.apply_error,
                request.intent,
            ),
        )
        if request.number == keeper.number and keeper.certain and request.intent == "stay":
            self.long_polls[k].append((i, request))
            self._schedule(request.wait_ms, self._on_poll_timeout, k, i, request)
        else:
            self._send_reply(k, i, request)

    def _on_poll_timeout(self, k: int, i: int, request: RenewRequest) -> None:
        if (i, request) in self.long_polls[k]:
            self.long_polls[k].remove((i, request))
            self._send_reply(k, i, request)

    def _send_reply(self, k: int, i: int, request: RenewRequest) -> None:
        keeper = self.keepers[k]
        self.busy_until[k] = max(self.busy_until[k], self.now) + self.answer_ms
        reply = RenewReply(
            request.sent,
            keeper.number,
            keeper.certain,
            request.incarnation in keeper.state.members,
            False,
            keeper.state.join_error(Newcomer(request.name, request.incarnation)),
            keeper.catch_up_since(request.number),
        )
        self._schedule(self.busy_until[k] - self.now + self._link_delay(), self._on_reply, i, k, reply)

    def _on_reply(self, i: int, k: int, reply: RenewReply) -> None:
        lease = self.leases[i]
        if i not in self.partitioned:
            lease.handle_reply(k, reply)
            if lease.state.queue:
                lease.ready_version, lease.apply_error = lease.state.queue[0].version, ""
        self.refresh(i)
        wait_ms = 0.0 if lease.has_lease else lease.state.terms.window_ms / POLLS_PER_WINDOW / 4
        self._schedule(wait_ms, self._send_request, i, k)

    def refresh(self, i: int) -> None:
        """Update the version and the share that an instance applies now."""
        effective = self.leases[i].effective_settings(self.now)
        if effective is None or not effective.share:
            return
        if not effective.has_lease:
            self.without_lease_count += 1
        if effective.has_lease and effective.version != self.versions[i]:
            self.versions[i] = effective.version
            self.applied_at.setdefault(effective.version, []).append(self.now)
        self.shares[i] = effective.share

    def check_total_share(self) -> None:
        """Update all instances, and the maximum by which their total share exceeds 1."""
        for i in range(len(self.leases)):
            self.refresh(i)
        self.max_excess_share = max(self.max_excess_share, sum(self.shares) - 1)

    @property
    def leased_count(self) -> int:
        """The number of instances that have a lease."""
        return sum(lease.has_lease for lease in self.leases)
