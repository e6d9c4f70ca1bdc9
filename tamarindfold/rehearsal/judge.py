"""Checks a run against the five rules and further conditions, from what was observed on the sockets.

The input is what clients sent and received, what reached the servers and ran, and which server list each
gateway was sent; never what a gateway reports about itself. Each verdict counts what was examined and the
breaches, and keeps the earliest breach.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from tamarindfold.agreement.document import Terms
from tamarindfold.rehearsal.observations import Observations, ReceivedAttempt, Try
from tamarindfold.rehearsal.scenario import Scenario
from tamarindfold.rehearsal.version_probe import find_stale_versions

# An overload counts as a breach if at least this ratio of the work came from gateways that had been notified
# of the server's start.
MIN_INFORMED_RATIO = 2 / 3


@dataclass(slots=True)
class Verdict:
    """The result of one check."""

    rule: str
    examined: int = 0
    breaches: int = 0
    first_breach: dict[str, Any] | None = None
    details: dict[str, Any] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """Whether something was examined and no breach was found."""
        return self.breaches == 0 and self.examined > 0

    def breach(self, at: float, **what: Any) -> None:
        """Count a breach, and keep it if it is the earliest."""
        self.breaches += 1
        if self.first_breach is None or at < self.first_breach["t"]:
            self.first_breach = {"t": at} | what


def judge(scenario: Scenario, observations: Observations) -> list[Verdict]:
    """The verdicts on the five rules, followed by those on the other checks that apply to the scenario."""
    safety = scenario.gateway.get("safety", {})
    slack = scenario.judging.slack_ms
    return [
        check_one_answer(observations, safety.get("answer_grace_ms", 100.0) + slack, slack),
        check_no_double_effect(observations),
        check_drains(observations, safety.get("drain_grace_ms", 250.0) + slack),
        check_cold_servers(observations),
        check_ceilings(observations),
        check_tokens(observations, slack),
        *([check_call_results(observations)] if observations.call_results else []),
        *([check_agreed_settings(scenario, observations)] if scenario.keepers else []),
    ] + (
        [check_valid_keys(observations), check_counter_plans(observations, slack)]
        if scenario.registry
        else []
    )


# ---- rule 1


def _outages(observations: Observations) -> dict[int, list[tuple[float, float, str]]]:
    """By instance: begin, end and kind of each period in which it was dead or suspended."""
    out: dict[int, list[tuple[float, float, str]]] = {}
    since: dict[tuple[int, str], float] = {}
    for entry in observations.run_events:
        what, index = entry["what"], entry.get("index", -1)
        if what == "instance_down":
            since[index, "dead"] = entry["t"]
        elif what == "instance_stalls":
            since[index, "suspended"] = entry["t"]
        elif what in ("instance_up", "instance_resumes"):
            kind = "dead" if what == "instance_up" else "suspended"
            if (started_at := since.pop((index, kind), None)) is not None:
                out.setdefault(index, []).append((started_at, entry["t"], kind))
    for (index, kind), started_at in since.items():
        out.setdefault(index, []).append((started_at, float("inf"), kind))
    return out


def check_one_answer(observations: Observations, grace_ms: float, slack_ms: float) -> Verdict:
    """Each try that a live instance accepted gets one final answer in time, and no attempt is sent after it.

    A try that was open at an instance when the instance was killed is left to the client to retry. For a try
    that was open at a suspended instance (SIGSTOP), the grace period starts no earlier than its resumption.
    """
    verdict = Verdict("no request lost")
    outages = _outages(observations)
    for client_try in observations.tries.values():
        verdict.examined += 1
        sent, deadline = client_try.sent["t"], client_try.sent["deadline"]
        instance_outages = outages.get(client_try.sent["gateway"], [])
        if len(client_try.answers) > 1 or client_try.extra_bytes:
            verdict.breach(sent, request=client_try.name, what="answered twice")
        if not client_try.answers:
            end = client_try.broken["t"] if client_try.broken else deadline
            was_dead = any(
                kind == "dead" and started_at <= end + slack_ms and sent <= until
                for started_at, until, kind in instance_outages
            )
            # The client gave up while the instance was suspended past the deadline: no answer is possible.
            gave_up = client_try.broken is not None and any(
                kind == "suspended" and started_at <= deadline and client_try.broken["t"] <= until
                for started_at, until, kind in instance_outages
            )
            if not was_dead and not gave_up:
                verdict.breach(
                    sent,
                    request=client_try.name,
                    what="no answer",
                    how=client_try.broken["how"] if client_try.broken else "none",
                )
            continue
        answered = client_try.answers[0]["t"]
        due = max(
            [deadline]
            + [
                until
                for started_at, until, kind in instance_outages
                if kind == "suspended" and sent <= until and started_at <= deadline
            ]
        )
        if answered > due + grace_ms:
            verdict.breach(sent, request=client_try.name, what="answered late", late_ms=answered - deadline)
        for attempt in client_try.attempts:
            if attempt.received_at > answered + slack_ms:
                verdict.breach(
                    attempt.received_at,
                    request=client_try.name,
                    what="sent after the final answer",
                    server=attempt.server,
                    after_ms=attempt.received_at - answered,
                )
    for attempt in observations.unmatched:
        verdict.breach(
            attempt.received_at, request=attempt.entry["try"], what="sent by no client", server=attempt.server
        )
    return verdict


# ---- rule 2


def _same_group(observations: Observations, group: str, a: ReceivedAttempt, b: ReceivedAttempt) -> bool:
    """Whether two attempts went to servers within which the class allows a repeat."""
    if group == "all":
        return True
    table = observations.zones if group == "zone" else observations.cells
    return table[a.server] == table[b.server]


def check_no_double_effect(observations: Observations) -> Verdict:
    """A try that may have run is repeated only as its class allows, and is not refused."""
    verdict = Verdict("no effect twice")
    calls: dict[int, list[Try]] = {}
    for client_try in observations.tries.values():
        calls.setdefault(client_try.sent["call"], []).append(client_try)
        cls_info = observations.classes[client_try.sent["cls"]]
        if cls_info.effect == "safe":
            continue
        verdict.examined += 1
        may_have_run = [a for a in client_try.attempts if not a.queue_full]
        for earlier, later in pairwise(may_have_run):
            if cls_info.effect == "unsafe":
                verdict.breach(
                    later.received_at,
                    request=client_try.name,
                    what="sent again after it may have run",
                    servers=[earlier.server, later.server],
                )
            elif later.received_at - may_have_run[0].received_at > cls_info.window_ms or not _same_group(
                observations, cls_info.group, may_have_run[0], later
            ):
                verdict.breach(
                    later.received_at,
                    request=client_try.name,
                    what="repeated outside the group or the window",
                    servers=[may_have_run[0].server, later.server],
                )
        outcome = client_try.answers[0]["outcome"] if client_try.answers else ""
        if may_have_run and outcome == "refused" and (cls_info.effect == "unsafe" or cls_info.group != "all"):
            verdict.breach(
                may_have_run[0].received_at,
                request=client_try.name,
                what="refused though it may have run",
                server=may_have_run[0].server,
            )
    for call, tries in calls.items():
        if observations.classes[tries[0].sent["cls"]].effect != "unsafe":
            continue
        ran = [a for client_try in tries for a in client_try.attempts if a.runs]
        if sum(a.runs for a in ran) > 1:
            verdict.breach(
                ran[-1].received_at,
                call=call,
                request=tries[0].name,
                what="ran twice",
                servers=[a.server for a in ran],
            )
    return verdict


# ---- rule 3


def _listing(observations: Observations) -> dict[tuple[str, str], list[tuple[float, str, float]]]:
    """By gateway and server: the updates that the gateway got (time, state, start time of the server)."""
    out: dict[tuple[str, str], list[tuple[float, str, float]]] = {}
    listed: dict[str, set[str]] = {}
    for entry in sorted(observations.list_updates, key=lambda e: e["t"]):
        gateway, named = entry["peer"], entry["servers"]
        if entry["kind"] == "full":
            for server in listed.get(gateway, set()) - set(named):
                out[gateway, server].append((entry["t"], "gone", 0.0))
            listed[gateway] = set()
        for server, (state, up_since) in named.items():
            listed.setdefault(gateway, set()).add(server)
            out.setdefault((gateway, server), []).append((entry["t"], state, up_since))
    return out


def check_drains(observations: Observations, grace_ms: float) -> Verdict:
    """A gateway sends nothing to a server later than the grace period after it was notified of a drain."""
    verdict = Verdict("drains kept")
    listing = _listing(observations)
    for attempt in _all_attempts(observations):
        verdict.examined += 1
        updates = listing.get((attempt.gateway, attempt.server), [])
        at = bisect_right(updates, attempt.decided_at, key=lambda update: update[0]) - 1
        if at < 0 or updates[at][1] == "ready":
            continue
        since = at
        while since > 0 and updates[since - 1][1] != "ready":
            since -= 1
        if attempt.decided_at > updates[since][0] + grace_ms:
            verdict.breach(
                attempt.received_at,
                request=attempt.entry["try"],
                server=attempt.server,
                what=f"sent {attempt.decided_at - updates[since][0]:.0f} ms after {updates[since][1]}",
            )
    return verdict


def _all_attempts(observations: Observations) -> list[ReceivedAttempt]:
    """All attempts that reached a server, in the order of arrival."""
    found = [a for client_try in observations.tries.values() for a in client_try.attempts]
    return sorted(found + observations.unmatched, key=lambda a: a.received_at)


# ---- rule 4


def check_cold_servers(observations: Observations) -> Verdict:
    """No cold server gets, within overload_ms, more work than the allowed multiple of its current capacity.

    The load is computed from the work that arrived, not from the server's own overload state. It is a breach
    only if at least two thirds of the work came from gateways that had been notified of the server's start.
    """
    verdict = Verdict("cold servers not pushed over")
    listing = _listing(observations)
    by_server: dict[str, list[ReceivedAttempt]] = {}
    for attempt in _all_attempts(observations):
        by_server.setdefault(attempt.server, []).append(attempt)
    highest_load = 0.0
    for server, starts in observations.server_starts.items():
        for start in starts:
            if not start["cold"]:
                continue
            verdict.examined += 1
            window: deque[ReceivedAttempt] = deque()
            warm_at = start["t"] + start["cold_ms"]
            arrived = [a for a in by_server.get(server, []) if start["t"] <= a.received_at < warm_at]
            for attempt in arrived:
                window.append(attempt)
                while window[0].received_at <= attempt.received_at - start["overload_ms"]:
                    window.popleft()
                warm_up_progress = (attempt.received_at - start["t"]) / start["cold_ms"]
                capacity = start["start_capacity"] + (1 - start["start_capacity"]) * warm_up_progress
                budget = (
                    start["fall_multiple"] * capacity * start["cores"] * start["overload_ms"] + start["slack"]
                )
                work = sum(a.entry["work"] for a in window)
                informed = sum(
                    a.entry["work"]
                    for a in window
                    if any(
                        notified_at <= a.received_at and up_since >= start["t"] - 1_000
                        for notified_at, _, up_since in listing.get((a.gateway, server), [])
                    )
                )
                highest_load = max(highest_load, work / budget)
                if work > budget and informed >= MIN_INFORMED_RATIO * work:
                    verdict.breach(
                        attempt.received_at,
                        request=attempt.entry["try"],
                        server=server,
                        what=f"{work:.0f} ms of work in a window, budget {budget:.0f} ms",
                    )
                    break
    verdict.details["nearest"] = round(highest_load, 3)
    return verdict


# ---- rule 5


def check_ceilings(observations: Observations) -> Verdict:
    """The first attempt of each try takes its units from the ceiling bucket of its customer.

    The bucket is shared by all gateways, and its level never falls below 0 by more than ceiling_slack.
    """
    verdict = Verdict("ceilings kept")
    buckets: dict[str, tuple[float, float]] = {}
    first_attempts = sorted(
        (
            (client_try.attempts[0].received_at, client_try)
            for client_try in observations.tries.values()
            # where a proxy failed open, no gateway decided
            if client_try.attempts and not client_try.failed_open
        ),
        key=lambda first: first[0],
    )
    lowest = 0.0
    for at, client_try in first_attempts:
        plan = observations.plans[client_try.sent["plan"]]
        if not plan.get("ceiling_rate"):
            continue
        verdict.examined += 1
        customer, burst = client_try.sent["customer"], plan["ceiling_burst"]
        level, since = buckets.get(customer, (burst, at))
        level = min(burst, level + (at - since) / 1000 * plan["ceiling_rate"]) - client_try.sent["units"]
        buckets[customer] = level, at
        lowest = min(lowest, level)
        if level < -plan.get("ceiling_slack", 0.0):
            verdict.breach(at, request=client_try.name, customer=customer, what=f"{-level:.1f} units below 0")
    verdict.details["lowest_level"] = round(lowest, 2)
    return verdict


# ---- further checks


def _plan_changes(observations: Observations) -> dict[str, list[tuple[float, str]]]:
    """By customer: its plans, each with the time from which it is in force."""
    out: dict[str, list[tuple[float, str]]] = {}
    for entry in observations.run_events:
        if entry["what"] == "plan":
            out.setdefault(entry["customer"], []).append((entry["at"], entry["plan"]))
    return out


def _plans_between(changes: list[tuple[float, str]], begin: float, end: float) -> set[str]:
    """The plans that were in force at some time between begin and end."""
    found = {plan for at, plan in changes if begin < at <= end}
    earlier = [plan for at, plan in changes if at <= begin]
    return found | set(earlier[-1:])


def check_tokens(observations: Observations, slack_ms: float) -> Verdict:
    """Requests reach a server only with a valid token, and under the plan of their customer."""
    verdict = Verdict("tokens checked")
    plan_changes = _plan_changes(observations)
    for client_try in observations.tries.values():
        verdict.examined += 1
        for attempt in client_try.attempts:
            if client_try.failed_open:  # the proxy asked no gateway, so the attempt carries no plan
                continue
            if client_try.sent["bad_token"]:
                verdict.breach(attempt.received_at, request=client_try.name, what="sent on with a bad token")
            elif attempt.entry["plan"] not in (
                _plans_between(
                    plan_changes[client_try.sent["customer"]],
                    client_try.sent["t"] - slack_ms,
                    attempt.received_at + slack_ms,
                )
                if plan_changes
                else {client_try.sent["plan"]}
            ):
                verdict.breach(
                    attempt.received_at, request=client_try.name, what=f"under plan {attempt.entry['plan']}"
                )
    return verdict


def check_agreed_settings(scenario: Scenario, observations: Observations) -> Verdict:
    """No instance acts on an old version later than the window after a newer one was first used."""
    window_ms = scenario.judging.window_ms or scenario.gateway.get("terms", {}).get(
        "window_ms", Terms().window_ms
    )
    found = find_stale_versions(observations.probes + observations.run_events, window_ms)
    verdict = Verdict("settings agreed", found.examined)
    for breach in found.breaches:
        verdict.breach(breach.pop("t"), **breach)
    verdict.details |= {
        "contradiction_ms_max": round(found.max_overlap_ms, 1),
        "window_ms": window_ms,
        "without_a_lease": found.probes_without_lease,
        "spread_ms_max": round(max(found.rollout_ms.values(), default=0.0), 1),
        "versions": len(found.rollout_ms),
    }
    return verdict


def check_valid_keys(observations: Observations) -> Verdict:
    """No request with a valid key is rejected with 401 or 403."""
    verdict = Verdict("good keys accepted")
    for client_try in observations.tries.values():
        if client_try.sent["bad_token"]:
            continue
        verdict.examined += 1
        for answer in client_try.answers:
            if answer["status"] in (401, 403):
                verdict.breach(
                    client_try.sent["t"],
                    request=client_try.name,
                    customer=client_try.sent["customer"],
                    what=f"answered {answer['status']}",
                )
    return verdict


def check_counter_plans(observations: Observations, slack_ms: float) -> Verdict:
    """Units are added to the counter only under the plan version in force, as decoded from the keys.

    A key is version << 64 | minute << 33 | customer (Gateway.counter_name). Customers are numbered in the
    order in which the run added them, and versions in the order in which it defined the plans.
    """
    verdict = Verdict("counted under their plans")
    plan_changes, plan_names = _plan_changes(observations), list(observations.plans)
    customers = [e["customer"] for e in observations.run_events if e["what"] == "customer"]
    for entry in observations.counter_additions:
        key = int(entry["key"].rpartition(":")[2], 16)
        verdict.examined += 1
        number, plan_index = key & (1 << 33) - 1, key >> 64
        if not 0 < number <= len(customers) or plan_index >= len(plan_names):
            verdict.breach(entry["t"], key=entry["key"], what="no such customer or plan")
            continue
        customer = customers[number - 1]
        in_force = _plans_between(plan_changes[customer], entry["t"] - slack_ms, entry["t"] + slack_ms)
        if plan_names[plan_index] not in in_force:
            verdict.breach(
                entry["t"], customer=customer, what=f"{entry['amount']} added under {plan_names[plan_index]}"
            )
    return verdict


def check_call_results(observations: Observations) -> Verdict:
    """The client library reports results that match what ran.

    It has one try open at a time, reports a call as served only if it ran, and reports no call as failed,
    refused or rejected that ran and must not run twice.
    """
    verdict = Verdict("callers told the truth")
    calls: dict[int, list[Try]] = {}
    for client_try in observations.tries.values():
        calls.setdefault(client_try.sent["call"], []).append(client_try)
    for entry in observations.call_results:
        verdict.examined += 1
        tries = sorted(calls.get(entry["call"], []), key=lambda client_try: client_try.sent["t"])
        for earlier, later in pairwise(tries):
            end = earlier.answers[0] if earlier.answers else earlier.broken
            if end is None or later.sent["t"] < end["t"]:
                verdict.breach(later.sent["t"], call=entry["call"], what="two tries open at once")
        runs = sum(attempt.runs for client_try in tries for attempt in client_try.attempts)
        unsafe = bool(tries) and observations.classes[tries[0].sent["cls"]].effect == "unsafe"
        if unsafe and runs and entry["outcome"] in ("failed", "refused", "rejected"):
            verdict.breach(entry["t"], call=entry["call"], what=f"reported {entry['outcome']}, but it ran")
        keyed = bool(tries) and observations.classes[tries[0].sent["cls"]].effect == "keyed"
        if entry["outcome"] == "served" and not runs and not keyed:
            verdict.breach(entry["t"], call=entry["call"], what="reported served, but nothing ran")
    return verdict
