"""A model of leases, shares and settings versions, with the production objects and time in discrete steps.

The leader exchanges all messages with one follower in a single move (`sync`). Between instances and keepers,
sending a request, handling it and receiving its reply are separate moves, any time apart or left out.
Instances are suspended and resumed, and their clocks run at different rates.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from copy import copy
from typing import Any

import msgspec

from tamarindfold.agreement.consensus import Action, DurableState, HeartbeatReply, Keeper, Send
from tamarindfold.agreement.document import LOWEST_RATIO, Document
from tamarindfold.agreement.lease import EffectiveSettings, Lease, RenewRequest, RenewReply
from tamarindfold.agreement.log import Newcomer, Proposed
from tamarindfold.agreement.reports import Report, Reports
from tamarindfold.agreement.reconciler import Reconciler
from tamarindfold.modelcheck.keepers import clone

STEP_MS = 250.0
CLOCK_RATES = (1.0, 1.01, 0.99, 1.005)  # of the instances' clocks, relative to real time
TOLERANCE = 1e-6  # for rounding errors


def document(rate: float) -> Document:
    """Settings with one plan that grants `rate` requests per second."""
    return msgspec.convert(
        {
            "classes": [{"name": "quote", "aim_ms": 1000, "deadline_ms": 4000, "worth": 1, "effect": "safe"}],
            "routes": [{"method": "GET", "path": "/", "class": "quote"}],
            "plans": [{"name": "corner", "rate": rate, "burst": 10}],
            "fleet": {"static": [{"address": "127.0.0.1:9000"}]},
            "terms": {"window_ms": 2000, "unled_ms": 1000, "least_share": 0.01, "most_instances": 8},
        },
        Document,
    )


_LEASE_PERIOD = ("time", "round") * 5  # a little longer than a lease
# Moves made before a walk begins, to reach states that a random walk would seldom reach. "one": one instance.
STARTING_SCENARIOS: dict[str, tuple[str, ...]] = {
    "healthy fleet": (),
    "one is partitioned from all keepers": ("cut 2", *_LEASE_PERIOD),
    "replies to one are delayed": ("lag 2", *_LEASE_PERIOD),
    "one reaches a single keeper": ("lone", *_LEASE_PERIOD),
    "one reaches a single keeper while the roster changes": (
        "lone",
        *_LEASE_PERIOD,
        "newcomer",
        *_LEASE_PERIOD,
        "stop 1",
        *_LEASE_PERIOD,
    ),
    "one follows a keeper that lags behind": ("strand", *_LEASE_PERIOD, *_LEASE_PERIOD),
    "one is suspended": ("stop 2", *_LEASE_PERIOD, *_LEASE_PERIOD),
    "one is lost while a version is pending": ("cut 1", "propose", *_LEASE_PERIOD, *_LEASE_PERIOD),
    "a version is proposed while replies are delayed": (
        "lag 2",
        "propose",
        *_LEASE_PERIOD,
        *_LEASE_PERIOD,
        *_LEASE_PERIOD,
        *_LEASE_PERIOD,
    ),
}
VERSIONS = tuple(document(rate) for rate in (8.0, 4.0, 12.0, 3.0, 6.0))


class Bounds(msgspec.Struct, frozen=True):
    """How often each kind of event may happen in one world."""

    instances: int = 3
    proposals: int = 3
    suspensions: int = 2
    partitions: int = 2  # an instance reaches no keeper, and continues to run
    restarts: int = 1  # an instance is killed and replaced by a new process
    joins: int = 1  # an additional instance starts
    leader_changes: int = 1


class _Instance:
    """An instance: its lease, its clock, its requests and replies in transit, and its effective settings."""

    def __init__(self, lease: Lease, clock_rate: float) -> None:
        self.lease, self.clock_rate = lease, clock_rate
        self.requests: dict[int, RenewRequest] = {}  # by keeper
        self.replies: dict[int, RenewReply] = {}
        self.effective: EffectiveSettings | None = None
        self.suspended = self.partitioned = False

    def copy(self) -> _Instance:
        duplicate = copy(self)
        duplicate.lease = copy(self.lease)
        duplicate.lease.confirmed_at = dict(self.lease.confirmed_at)
        duplicate.requests, duplicate.replies = dict(self.requests), dict(self.replies)
        return duplicate


class LeaseWorld:
    """Three keepers, their reconcilers and the instances at one moment.

    Names of the moves (I: an instance, K: a keeper, F: the leader's follower 1 or 2):

    - `time`: the clock advances by STEP_MS.
    - `propose`, `write`: the leader proposes a version, or the entry that its reconciler finds due.
    - `sync F`: the leader and the follower exchange all their messages. `lead K`: the keeper is elected.
    - `ask IK`, `serve IK`, `hear IK`: the steps of a lease renewal. `renew IK`: all three.
    - `round`: a write, a sync of each reachable follower, and renewals by all instances that are running.
    - `stop I`, `wake I`: the instance is suspended, or resumed. `restart I`: a new process replaces it.
    - `cut I`: the instance is partitioned from all keepers. `heal I`: it is connected again.
    - `lag I`: the instance is partitioned, and replies of all keepers are in transit to it.
    - `newcomer`: another instance starts.
    - `strand`, `join up`: the second follower and the last instance reach only each other, or all again.
    - `lone`, `company`: the last instance reaches only the first follower, or all keepers again.

    The invariants are in `_outdated_version`, `_exceeded_rate` and `_duplicate_index`.
    """

    counts_from_arrival = False  # set by a planted fault: a lease counts from the arrival of the reply

    def __init__(self, bounds: Bounds, scenario: Sequence[str] = ()) -> None:
        """scenario: moves that are made before the exploration begins."""
        self.bounds, self.now = bounds, 0.0
        self.keepers = [Keeper(me, 3, DurableState(), me, 0.0, True) for me in range(3)]
        self.reports = [Reports() for _ in range(3)]
        self.reconcilers = [Reconciler(reports) for reports in self.reports]
        self.leader = 0
        self.instances: list[_Instance] = []
        self.remaining = bounds
        self.incarnations = 0
        self.versions_proposed = 0
        self.first_applied_at: dict[int, float] = {}
        self.follower_isolated = False  # the second follower and the last instance reach only each other
        self.single_keeper = False  # the last instance reaches only the first follower
        self.first_violation = ""
        self._make_leader(0)
        self._propose()
        for number in range(bounds.instances):
            self._start(number, "")
        for _ in range(20):  # start from a healthy fleet
            self._apply("round")
        self._check_invariants()
        for move in scenario:
            self._apply(move)
            self._check_invariants()

    # ---- the protocol of World

    def moves(self) -> Sequence[str]:
        # Weighted: a uniform walk would hardly ever keep all instances but one healthy for a whole window.
        possible = ["time"] * 4 + ["round"] * 6 + ["write", "sync 1"]
        possible += ["join up"] if self.follower_isolated else ["sync 2", "strand"]
        possible += ["company"] if self.single_keeper else ["lone"]
        for number, instance in enumerate(self.instances):
            if instance.suspended:
                possible.append(f"wake {number}")
                continue
            if self.remaining.suspensions:
                possible.append(f"stop {number}")
            if self.remaining.restarts:
                possible.append(f"restart {number}")
            if instance.partitioned:
                possible.append(f"heal {number}")
                possible += [f"hear {number}{keeper}" for keeper in sorted(instance.replies)]
                continue
            if self.remaining.partitions:
                possible += [f"cut {number}", f"lag {number}"]
            for keeper in self._reachable(number):
                at = f"{number}{keeper}"
                possible.append(f"renew {at}")
                if keeper in instance.replies:
                    possible.append(f"hear {at}")
                elif keeper in instance.requests:
                    possible.append(f"serve {at}")
                else:
                    possible.append(f"ask {at}")
        if self.remaining.proposals:
            possible.append("propose")
        if self.remaining.joins:
            possible.append("newcomer")
        if self.remaining.leader_changes:
            possible += ["lead 1", "lead 2"]
        return possible

    def after(self, move: str) -> LeaseWorld:
        successor = copy(self)
        successor.keepers = [clone(keeper) for keeper in self.keepers]
        successor.reports, successor.reconcilers = [], []
        for reports, reconciler in zip(self.reports, self.reconcilers, strict=True):
            reports_copy = copy(reports)
            reports_copy.known, reports_copy.unsent = dict(reports.known), dict(reports.unsent)
            successor.reports.append(reports_copy)
            reconciler_copy = copy(reconciler)
            reconciler_copy.reports, reconciler_copy.loss_known_at = (
                reports_copy,
                dict(reconciler.loss_known_at),
            )
            successor.reconcilers.append(reconciler_copy)
        successor.instances = [instance.copy() for instance in self.instances]
        successor.first_applied_at = dict(self.first_applied_at)
        successor._apply(move)
        successor._check_invariants()
        return successor

    def key(self) -> Hashable:
        return (
            self.now,
            self.leader,
            self.follower_isolated,
            self.single_keeper,
            tuple(k.state.chain for k in self.keepers),
            tuple(
                (
                    i.suspended,
                    i.partitioned,
                    i.lease.incarnation,
                    i.lease.state.number,
                    tuple(sorted(i.lease.confirmed_at.items())),
                    tuple(sorted(i.requests)),
                    tuple(sorted(i.replies)),
                    i.lease.share,
                )
                for i in self.instances
            ),
            self.remaining,
        )

    def violation(self) -> str:
        return self.first_violation

    # ---- moves

    def _apply(self, move: str) -> None:
        kind, _, target = move.partition(" ")
        if kind == "time":
            self.now += STEP_MS
        elif kind == "write":
            self._write()
        elif kind == "round":
            for name in ("write", "sync 1", *(["sync 2"] if not self.follower_isolated else [])):
                self._apply(name)
            for number, instance in enumerate(self.instances):
                for keeper in (
                    self._reachable(number) if not (instance.suspended or instance.partitioned) else ()
                ):
                    self._apply_to_instance("renew", f"{number}{keeper}")
        elif kind in ("strand", "join"):
            self.follower_isolated = kind == "strand"
        elif kind in ("lone", "company"):
            self.single_keeper = kind == "lone"
        elif kind == "sync":
            self._sync_follower(int(target))
        elif kind == "propose":
            self.remaining = msgspec.structs.replace(self.remaining, proposals=self.remaining.proposals - 1)
            self._propose()
        elif kind == "newcomer":
            self.remaining = msgspec.structs.replace(self.remaining, joins=self.remaining.joins - 1)
            self._start(len(self.instances), "")
        elif kind == "lead":
            self.remaining = msgspec.structs.replace(
                self.remaining, leader_changes=self.remaining.leader_changes - 1
            )
            self._make_leader(int(target))
        else:
            self._apply_to_instance(kind, target)

    def _reachable(self, number: int) -> Sequence[int]:
        """The keepers that an instance can reach."""
        followers = [k for k in range(3) if k != self.leader]
        if number != self.bounds.instances - 1:
            return range(3)
        return followers[1:] if self.follower_isolated else followers[:1] if self.single_keeper else range(3)

    def _apply_to_instance(self, kind: str, target: str) -> None:
        number = int(target[0])
        instance = self.instances[number]
        if kind == "stop":
            self.remaining = msgspec.structs.replace(
                self.remaining, suspensions=self.remaining.suspensions - 1
            )
            instance.suspended, instance.effective = True, None  # it does nothing while suspended
        elif kind == "wake":
            instance.suspended = False
        elif kind in ("cut", "lag"):
            self.remaining = msgspec.structs.replace(self.remaining, partitions=self.remaining.partitions - 1)
            for keeper in range(3 if kind == "lag" else 0):  # the replies are delayed in transit
                self._exchange(instance, keeper, "ask")
                self._exchange(instance, keeper, "serve")
            instance.partitioned = True
            instance.requests.clear()
        elif kind == "heal":
            instance.partitioned = False
        elif kind == "restart":
            self.remaining = msgspec.structs.replace(self.remaining, restarts=self.remaining.restarts - 1)
            self._start(number, instance.lease.incarnation)
        else:
            keeper = int(target[1])
            for step in ("ask", "serve", "hear") if kind == "renew" else (kind,):
                self._exchange(instance, keeper, step)

    def _exchange(self, instance: _Instance, keeper: int, step: str) -> None:
        if step == "ask":
            instance.requests[keeper] = instance.lease.renew_request(self.now * instance.clock_rate, 0.0)
            instance.replies.pop(keeper, None)
        elif step == "serve" and (request := instance.requests.pop(keeper, None)) is not None:
            instance.replies[keeper] = self._serve(keeper, request)
        elif step == "hear" and (reply := instance.replies.pop(keeper, None)) is not None:
            if self.counts_from_arrival:
                reply = msgspec.structs.replace(reply, sent=self.now * instance.clock_rate)
            instance.lease.handle_reply(keeper, reply)
            queue = instance.lease.state.queue
            if queue:
                instance.lease.ready_version, instance.lease.apply_error = queue[0].version, ""

    def _start(self, number: int, replaces: str) -> None:
        self.incarnations += 1
        lease = Lease(f"life{self.incarnations}", f"i{number}", 3, replaces)
        instance = _Instance(lease, CLOCK_RATES[number % len(CLOCK_RATES)])
        self.instances[number : number + 1] = [instance]

    def _serve(self, keeper: int, request: RenewRequest) -> RenewReply:
        core = self.keepers[keeper]
        self.reports[keeper].record(
            self.now,
            Report(
                request.incarnation,
                request.name,
                request.number,
                request.ready_version,
                request.apply_error,
                request.intent,
                request.replaces,
            ),
        )
        updates = core.catch_up_since(request.number)
        join_error = core.state.join_error(Newcomer(request.name, request.incarnation, request.replaces))
        return RenewReply(
            request.sent,
            core.number,
            core.certain,
            request.incarnation in core.state.members,
            False,
            join_error,
            updates,
        )

    def _propose(self) -> None:
        keeper = self.keepers[self.leader]
        index = self.versions_proposed
        if index < len(VERSIONS) and keeper.proposal is None:
            self.versions_proposed += 1
            body = Proposed(VERSIONS[index], keeper.state.newest, "any", "", f"t{index}", 0.0)
            self._carry_out(self.leader, keeper.submit(self.now, 1, body))

    def _write(self) -> None:
        keeper = self.keepers[self.leader]
        if keeper.leads and keeper.proposal is None:
            entry = self.reconcilers[self.leader].next_entry(self.now, keeper.state)
            if entry is not None:
                self._carry_out(self.leader, keeper.submit(self.now, 1, entry))

    def _make_leader(self, number: int) -> None:
        keeper = self.keepers[number]
        for peer in self.keepers:
            peer.leader_heard_at = -1e9
        if keeper.leads:
            return
        keeper.election_due = self.now
        self._carry_out(number, keeper.tick(self.now))
        for follower in (k for k in range(3) if k != number):
            self._deliver_between(number, follower)
        if keeper.leads:
            self.leader = number
            self.reconcilers[number].reset_waits(self.now)

    def _sync_follower(self, follower: int) -> None:
        """Let the leader and one follower exchange messages until none is left."""
        peer = [k for k in range(3) if k != self.leader][follower - 1]
        keeper = self.keepers[self.leader]
        if keeper.leads:
            keeper.next_send_at, keeper.last_reply_at = self.now, dict.fromkeys(keeper.others, self.now)
            self._carry_out(self.leader, keeper.tick(self.now))
            self._deliver_between(self.leader, peer)

    def _deliver_between(self, first: int, second: int) -> None:
        for _ in range(20):
            delivered = False
            for sender, to in ((first, second), (second, first)):
                for message in self._take_messages(sender, to):
                    delivered = True
                    if isinstance(message, HeartbeatReply):
                        self.reports[to].merge(self.now, message.reports)
                    self._carry_out(to, self.keepers[to].receive(self.now, sender, message))
            if not delivered:
                break
        self.mailboxes: dict[tuple[int, int], list[Any]] = {}

    def _take_messages(self, sender: int, to: int) -> list[Any]:
        return self.mailboxes.pop((sender, to), []) if hasattr(self, "mailboxes") else []

    def _carry_out(self, me: int, actions: list[Action]) -> None:
        if not hasattr(self, "mailboxes"):
            self.mailboxes = {}
        else:
            self.mailboxes = {k: list(v) for k, v in self.mailboxes.items()}
        for action in actions:
            if isinstance(action, Send):
                message = action.message
                if isinstance(message, HeartbeatReply):
                    message = HeartbeatReply(
                        message.ballot, message.number, self.reports[me].take_unsent(self.now)
                    )
                self.mailboxes.setdefault((me, action.to), []).append(message)

    # ---- invariants

    def _check_invariants(self) -> None:
        for instance in self.instances:
            if not instance.suspended:
                instance.effective = instance.lease.effective_settings(self.now * instance.clock_rate)
        active = [(i, i.effective) for i in self.instances if i.effective is not None and i.effective.share]
        for _, effective in active:
            if effective.has_lease:
                self.first_applied_at.setdefault(effective.version, self.now)
        self.first_violation = (
            self.first_violation
            or self._outdated_version(active)
            or self._exceeded_rate(active)
            or self._duplicate_index(active)
        )

    def _outdated_version(self, active: list[tuple[_Instance, EffectiveSettings]]) -> str:
        """With a lease, an instance applies an old version for more than a window after a newer one."""
        for instance, effective in active:
            newer = [at for version, at in self.first_applied_at.items() if version > effective.version]
            window = effective.document.terms.window_ms
            if effective.has_lease and newer and self.now - min(newer) > window + TOLERANCE:
                return (
                    f"{instance.lease.name} applies version {effective.version} "
                    f"{self.now - min(newer):.0f} ms after a newer one took effect"
                )
        return ""

    def _exceeded_rate(self, active: list[tuple[_Instance, EffectiveSettings]]) -> str:
        """The instances together grant more than the rate of the newest known version."""
        newest = max((k.state for k in self.keepers), key=lambda state: state.number)
        settings = newest.document
        if settings is None:
            return ""
        granted = sum(effective.share * effective.document.plans[0].rate for _, effective in active)
        if granted > settings.plans[0].rate * (1 + TOLERANCE):
            return f"the instances together grant {granted:.3f} of {settings.plans[0].rate:g} per second"
        return ""

    def _duplicate_index(self, active: list[tuple[_Instance, EffectiveSettings]]) -> str:
        """Two instances use the same index."""
        users: dict[int, str] = {}
        for instance, effective in active:
            terms = effective.document.terms
            if not effective.has_lease and effective.share <= terms.least_share * LOWEST_RATIO + TOLERANCE:
                continue  # on the lowest share, an instance uses no index of its own
            if (user := users.setdefault(effective.index, instance.lease.name)) != instance.lease.name:
                return f"{user} and {instance.lease.name} both use index {effective.index}"
        return ""
