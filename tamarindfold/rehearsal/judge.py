"""Judges the five rules by what stood on the sockets, never by the gateway's own word.

What the clients sent and got, what reached the servers and ran, what the list told to whom. Each rule gives
a count of what was looked at, a count of breaches, and the first of them.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from tamarindfold.agreement.document import Terms
from tamarindfold.rehearsal.day import Day
from tamarindfold.rehearsal.evidence import Evidence, Receipt, Try
from tamarindfold.rehearsal.marks import contradictions

INFORMED = 2 / 3  # of the work that pushed a cold server over: the share of gateways that knew it had started


@dataclass(slots=True)
class Verdict:
    """One rule."""

    rule: str
    looked_at: int = 0
    breaches: int = 0
    first: dict[str, Any] | None = None
    notes: dict[str, Any] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """Nothing broken, and something looked at."""
        return self.breaches == 0 and self.looked_at > 0

    def breach(self, at: float, **what: Any) -> None:
        """Count one breach; the earliest is kept."""
        self.breaches += 1
        if self.first is None or at < self.first["t"]:
            self.first = {"t": at} | what


def judge(day: Day, evidence: Evidence) -> list[Verdict]:
    """The five rules, and what else a day must keep."""
    safety = day.gateway.get("safety", {})
    slack = day.judging.slack_ms
    return [
        one_answer(evidence, safety.get("answer_grace_ms", 100.0) + slack, slack),
        no_effect_twice(evidence),
        drains_kept(evidence, safety.get("drain_grace_ms", 250.0) + slack),
        cold_not_pushed_over(evidence),
        ceilings_kept(evidence),
        only_the_entitled(evidence, slack),
        *([callers_told_the_truth(evidence)] if evidence.ended else []),
        *([settings_agreed(day, evidence)] if day.keepers else []),
    ] + ([valid_keys_accepted(evidence), counted_under_their_plans(evidence, slack)] if day.registry else [])


# ---- rule 1


def _away(evidence: Evidence) -> dict[int, list[tuple[float, float, str]]]:
    """When each instance was dead or stood still."""
    out: dict[int, list[tuple[float, float, str]]] = {}
    since: dict[tuple[int, str], float] = {}
    for entry in evidence.run:
        what, index = entry["what"], entry.get("index", -1)
        if what == "instance_down":
            since[index, "dead"] = entry["t"]
        elif what == "instance_stalls":
            since[index, "still"] = entry["t"]
        elif what in ("instance_up", "instance_resumes"):
            how = "dead" if what == "instance_up" else "still"
            if (began := since.pop((index, how), None)) is not None:
                out.setdefault(index, []).append((began, entry["t"], how))
    for (index, how), began in since.items():
        out.setdefault(index, []).append((began, float("inf"), how))
    return out


def one_answer(evidence: Evidence, grace_ms: float, slack_ms: float) -> Verdict:
    """Each try taken by a live instance: one final answer in time, nothing sent to a server afterwards.

    A try that an instance held when it was killed is the client's to send again. One that a stopped process
    (SIGSTOP) held is owed its answer from the moment it runs again.
    """
    verdict = Verdict("no request lost")
    away = _away(evidence)
    for known in evidence.tries.values():
        verdict.looked_at += 1
        sent, deadline = known.sent["t"], known.sent["deadline"]
        gaps = away.get(known.sent["gateway"], [])
        if len(known.answers) > 1 or known.again:
            verdict.breach(sent, request=known.name, what="answered twice")
        if not known.answers:
            end = known.broken["t"] if known.broken else deadline
            dead = any(
                how == "dead" and began <= end + slack_ms and sent <= until for began, until, how in gaps
            )
            # a client that left while the instance stood still, past the deadline, can't be answered any more
            left = known.broken is not None and any(
                how == "still" and began <= deadline and known.broken["t"] <= until
                for began, until, how in gaps
            )
            if not dead and not left:
                verdict.breach(
                    sent,
                    request=known.name,
                    what="no answer",
                    how=known.broken["how"] if known.broken else "none",
                )
            continue
        answered = known.answers[0]["t"]
        due = max(
            [deadline]
            + [until for began, until, how in gaps if how == "still" and sent <= until and began <= deadline]
        )
        if answered > due + grace_ms:
            verdict.breach(sent, request=known.name, what="answered late", late_ms=answered - deadline)
        for receipt in known.receipts:
            if receipt.at > answered + slack_ms:
                verdict.breach(
                    receipt.at,
                    request=known.name,
                    what="sent after the final answer",
                    server=receipt.server,
                    after_ms=receipt.at - answered,
                )
    for stray in evidence.strays:
        verdict.breach(stray.at, request=stray.entry["try"], what="sent by nobody", server=stray.server)
    return verdict


# ---- rule 2


def _same_group(evidence: Evidence, group: str, a: Receipt, b: Receipt) -> bool:
    if group == "all":
        return True
    table = evidence.zones if group == "zone" else evidence.cells
    return table[a.server] == table[b.server]


def no_effect_twice(evidence: Evidence) -> Verdict:
    """After a try may have run, nothing more of it is sent but where its class allows; nor is it refused."""
    verdict = Verdict("no effect twice")
    calls: dict[int, list[Try]] = {}
    for known in evidence.tries.values():
        calls.setdefault(known.sent["call"], []).append(known)
        facts = evidence.classes[known.sent["cls"]]
        if facts.effect == "safe":
            continue
        verdict.looked_at += 1
        doubtful = [r for r in known.receipts if not r.full]
        for earlier, later in pairwise(doubtful):
            if facts.effect == "unsafe":
                verdict.breach(
                    later.at,
                    request=known.name,
                    what="sent again after it may have run",
                    servers=[earlier.server, later.server],
                )
            elif later.at - doubtful[0].at > facts.window_ms or not _same_group(
                evidence, facts.group, doubtful[0], later
            ):
                verdict.breach(
                    later.at,
                    request=known.name,
                    what="repeated outside the group or the window",
                    servers=[doubtful[0].server, later.server],
                )
        outcome = known.answers[0]["outcome"] if known.answers else ""
        if doubtful and outcome == "refused" and (facts.effect == "unsafe" or facts.group != "all"):
            verdict.breach(
                doubtful[0].at,
                request=known.name,
                what="refused though it may have run",
                server=doubtful[0].server,
            )
    for call, tries in calls.items():
        if evidence.classes[tries[0].sent["cls"]].effect != "unsafe":
            continue
        ran = [r for known in tries for r in known.receipts if r.ran]
        if sum(r.ran for r in ran) > 1:
            verdict.breach(
                ran[-1].at,
                call=call,
                request=tries[0].name,
                what="ran twice",
                servers=[r.server for r in ran],
            )
    return verdict


# ---- rule 3


def _listing(evidence: Evidence) -> dict[tuple[str, str], list[tuple[float, str, float]]]:
    """What each gateway was told of each server: when, state, up since."""
    out: dict[tuple[str, str], list[tuple[float, str, float]]] = {}
    held: dict[str, set[str]] = {}
    for entry in sorted(evidence.told, key=lambda e: e["t"]):
        peer, named = entry["peer"], entry["servers"]
        if entry["kind"] == "full":
            for server in held.get(peer, set()) - set(named):
                out[peer, server].append((entry["t"], "gone", 0.0))
            held[peer] = set()
        for server, (state, up_since) in named.items():
            held.setdefault(peer, set()).add(server)
            out.setdefault((peer, server), []).append((entry["t"], state, up_since))
    return out


def drains_kept(evidence: Evidence, grace_ms: float) -> Verdict:
    """Nothing new reaches a server later than the grace after its gateway was told to send no more."""
    verdict = Verdict("drains kept")
    listing = _listing(evidence)
    for receipt in _receipts(evidence):
        verdict.looked_at += 1
        news = listing.get((receipt.peer, receipt.server), [])
        at = bisect_right(news, receipt.ordered, key=lambda n: n[0]) - 1
        if at < 0 or news[at][1] == "ready":
            continue
        since = at
        while since > 0 and news[since - 1][1] != "ready":
            since -= 1
        if receipt.ordered > news[since][0] + grace_ms:
            verdict.breach(
                receipt.at,
                request=receipt.entry["try"],
                server=receipt.server,
                what=f"sent {receipt.ordered - news[since][0]:.0f} ms after {news[since][1]}",
            )
    return verdict


def _receipts(evidence: Evidence) -> list[Receipt]:
    found = [r for known in evidence.tries.values() for r in known.receipts]
    return sorted(found + evidence.strays, key=lambda r: r.at)


# ---- rule 4


def cold_not_pushed_over(evidence: Evidence) -> Verdict:
    """No window of overload_ms brings a cold server more work than the multiple of what it can do then.

    Counted anew from the work that came, not from the server's own fall. Only work from gateways that knew of
    the start counts as theirs: two thirds of it must be, for a breach.
    """
    verdict = Verdict("cold servers not pushed over")
    listing = _listing(evidence)
    by_server: dict[str, list[Receipt]] = {}
    for receipt in _receipts(evidence):
        by_server.setdefault(receipt.server, []).append(receipt)
    worst = 0.0
    for server, births in evidence.births.items():
        for birth in births:
            if not birth["cold"]:
                continue
            verdict.looked_at += 1
            window: deque[Receipt] = deque()
            warm = birth["t"] + birth["cold_ms"]
            came = [r for r in by_server.get(server, []) if birth["t"] <= r.at < warm]
            for receipt in came:
                window.append(receipt)
                while window[0].at <= receipt.at - birth["overload_ms"]:
                    window.popleft()
                age = (receipt.at - birth["t"]) / birth["cold_ms"]
                able = birth["start_capacity"] + (1 - birth["start_capacity"]) * age
                budget = (
                    birth["fall_multiple"] * able * birth["cores"] * birth["overload_ms"] + birth["slack"]
                )
                work = sum(r.entry["work"] for r in window)
                informed = sum(
                    r.entry["work"]
                    for r in window
                    if any(
                        told <= r.at and up >= birth["t"] - 1_000
                        for told, _, up in listing.get((r.peer, server), [])
                    )
                )
                worst = max(worst, work / budget)
                if work > budget and informed >= INFORMED * work:
                    verdict.breach(
                        receipt.at,
                        request=receipt.entry["try"],
                        server=server,
                        what=f"{work:.0f} ms of work in a window, {budget:.0f} ms bearable",
                    )
                    break
    verdict.notes["nearest"] = round(worst, 3)
    return verdict


# ---- rule 5


def ceilings_kept(evidence: Evidence) -> Verdict:
    """The first send of each try draws its units from the customer's second store, shared by all."""
    verdict = Verdict("ceilings kept")
    stores: dict[str, tuple[float, float]] = {}
    firsts = sorted(
        (
            (known.receipts[0].at, known)
            for known in evidence.tries.values()
            if known.receipts and not known.let_through
        ),  # that was the proxy's own deed
        key=lambda first: first[0],
    )
    lowest = 0.0
    for at, known in firsts:
        plan = evidence.plans[known.sent["plan"]]
        if not plan.get("ceiling_rate"):
            continue
        verdict.looked_at += 1
        customer, burst = known.sent["customer"], plan["ceiling_burst"]
        level, since = stores.get(customer, (burst, at))
        level = min(burst, level + (at - since) / 1000 * plan["ceiling_rate"]) - known.sent["units"]
        stores[customer] = level, at
        lowest = min(lowest, level)
        if level < -plan.get("ceiling_slack", 0.0):
            verdict.breach(at, request=known.name, customer=customer, what=f"{-level:.1f} units below nought")
    verdict.notes["lowest_level"] = round(lowest, 2)
    return verdict


# ---- beyond the five


def _in_force(evidence: Evidence) -> dict[str, list[tuple[float, str]]]:
    """Each customer's plans with the instants from which they are in force."""
    out: dict[str, list[tuple[float, str]]] = {}
    for entry in evidence.run:
        if entry["what"] == "plan":
            out.setdefault(entry["customer"], []).append((entry["at"], entry["plan"]))
    return out


def _between(changes: list[tuple[float, str]], begin: float, end: float) -> set[str]:
    """The plans in force at some moment between these times."""
    found = {plan for at, plan in changes if begin < at <= end}
    earlier = [plan for at, plan in changes if at <= begin]
    return found | set(earlier[-1:])


def only_the_entitled(evidence: Evidence, slack_ms: float) -> Verdict:
    """Nothing that came with a bad token reaches a server, and what does is booked to its own plan."""
    verdict = Verdict("tokens checked")
    in_force = _in_force(evidence)
    for known in evidence.tries.values():
        verdict.looked_at += 1
        for receipt in known.receipts:
            if known.let_through:  # a proxy that fails open asked nobody, and books to nobody's plan
                continue
            if known.sent["bad_token"]:
                verdict.breach(receipt.at, request=known.name, what="sent on with a bad token")
            elif receipt.entry["plan"] not in (
                _between(in_force[known.sent["customer"]], known.sent["t"] - slack_ms, receipt.at + slack_ms)
                if in_force
                else {known.sent["plan"]}
            ):
                verdict.breach(receipt.at, request=known.name, what=f"under plan {receipt.entry['plan']}")
    return verdict


def settings_agreed(day: Day, evidence: Evidence) -> Verdict:
    """No instance acts on a version that contradicts a newer one for longer than the window (marks.py)."""
    window_ms = day.judging.window_ms or day.gateway.get("terms", {}).get("window_ms", Terms().window_ms)
    found = contradictions(evidence.marks + evidence.run, window_ms)
    verdict = Verdict("settings agreed", found.looked_at)
    for breach in found.breaches:
        verdict.breach(breach.pop("t"), **breach)
    verdict.notes |= {
        "contradiction_ms_max": round(found.max_ms, 1),
        "window_ms": window_ms,
        "without_a_lease": found.unled,
        "spread_ms_max": round(max(found.spread_ms.values(), default=0.0), 1),
        "versions": len(found.spread_ms),
    }
    return verdict


def valid_keys_accepted(evidence: Evidence) -> Verdict:
    """No request with a key that is good is turned away for who it is."""
    verdict = Verdict("good keys accepted")
    for known in evidence.tries.values():
        if known.sent["bad_token"]:
            continue
        verdict.looked_at += 1
        for answer in known.answers:
            if answer["status"] in (401, 403):
                verdict.breach(
                    known.sent["t"],
                    request=known.name,
                    customer=known.sent["customer"],
                    what=f"answered {answer['status']}",
                )
    return verdict


def counted_under_their_plans(evidence: Evidence, slack_ms: float) -> Verdict:
    """The counter is added to only under the name of the plan's version in force, reckoned from its own keys.

    A name reads version << 64 | minute << 33 | customer (Gateway.counter_name); customers have the numbers in
    which the run added them, plans the places in which it defined them.
    """
    verdict = Verdict("counted under their plans")
    in_force, places = _in_force(evidence), list(evidence.plans)
    customers = [e["customer"] for e in evidence.run if e["what"] == "customer"]
    for entry in evidence.counted:
        name = int(entry["key"].rpartition(":")[2], 16)
        verdict.looked_at += 1
        number, place = name & (1 << 33) - 1, name >> 64
        if not 0 < number <= len(customers) or place >= len(places):
            verdict.breach(entry["t"], key=entry["key"], what="no such customer or plan")
            continue
        customer = customers[number - 1]
        good = _between(in_force[customer], entry["t"] - slack_ms, entry["t"] + slack_ms)
        if places[place] not in good:
            verdict.breach(
                entry["t"], customer=customer, what=f"{entry['amount']} added under {places[place]}"
            )
    return verdict


def callers_told_the_truth(evidence: Evidence) -> Verdict:
    """The client library has one try out at a time, says served only of what ran, and calls nothing failed or
    refused that ran and must not run twice."""
    verdict = Verdict("callers told the truth")
    calls: dict[int, list[Try]] = {}
    for known in evidence.tries.values():
        calls.setdefault(known.sent["call"], []).append(known)
    for entry in evidence.ended:
        verdict.looked_at += 1
        tries = sorted(calls.get(entry["call"], []), key=lambda known: known.sent["t"])
        for earlier, later in pairwise(tries):
            end = earlier.answers[0] if earlier.answers else earlier.broken
            if end is None or later.sent["t"] < end["t"]:
                verdict.breach(later.sent["t"], call=entry["call"], what="two tries out at once")
        ran = sum(receipt.ran for known in tries for receipt in known.receipts)
        unsafe = bool(tries) and evidence.classes[tries[0].sent["cls"]].effect == "unsafe"
        if unsafe and ran and entry["outcome"] in ("failed", "refused", "rejected"):
            verdict.breach(entry["t"], call=entry["call"], what=f"told {entry['outcome']}, but it ran")
        keyed = bool(tries) and evidence.classes[tries[0].sent["cls"]].effect == "keyed"
        if entry["outcome"] == "served" and not ran and not keyed:
            verdict.breach(entry["t"], call=entry["call"], what="told served, but nothing ran")
    return verdict
