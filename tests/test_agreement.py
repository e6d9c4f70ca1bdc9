"""Unit tests of the replicated settings: document, log, state, consensus, lease, reconciler, and the event
by which the admission module gets new settings.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from build import START, gateway, request, settings
from click.testing import CliRunner

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.consensus import CatchUp, DurableState, Keeper, Save, Send
from tamarindfold.agreement.document import Document
from tamarindfold.agreement.lease import Lease, RenewReply
from tamarindfold.agreement.log import (
    EMPTY_CHAIN,
    InForce,
    Joined,
    JointPhaseStarted,
    Left,
    Lost,
    Newcomer,
    Proposed,
    RosterSettled,
    ShareReduced,
    make_entry,
)
from tamarindfold.agreement.reconciler import Reconciler
from tamarindfold.agreement.reports import Report, Reports
from tamarindfold.agreement.state import InvalidEntry, State, decode, encode
from tamarindfold.cli.main import cli
from tamarindfold.identity.files import create_key_pair
from tamarindfold.interface import Plan, Refuse, SettingsChanged
from tamarindfold.interface import Send as SendRequest
from tamarindfold.keeper.disk import LogFile

BASE: dict[str, Any] = {
    "classes": [
        {"name": "quote", "aim_ms": 1000, "deadline_ms": 4000, "worth": 1, "effect": "safe"},
        {
            "name": "book",
            "aim_ms": 1000,
            "deadline_ms": 4000,
            "worth": 1,
            "effect": "keyed",
            "window_ms": 900,
        },
    ],
    "routes": [
        {"method": "GET", "path": "/q", "class": "quote"},
        {"method": "POST", "path": "/b", "class": "book"},
    ],
    "plans": [{"name": "corner", "rate": 10, "burst": 20}],
    "fleet": {"static": [{"address": "127.0.0.1:9001"}, {"address": "127.0.0.1:9002"}]},
    "counter": {"parts": ["127.0.0.1:6379"]},
}


def doc(**changes: Any) -> Document:
    return msgspec.convert(BASE | changes, Document)


def plan(**figures: Any) -> list[dict[str, Any]]:
    return [BASE["plans"][0] | figures]


# ---- contradicting versions


@pytest.mark.parametrize(
    ("changes", "path", "restricted"),
    [
        ({"plans": plan(rate=4, burst=30)}, "plans[corner].rate", 4.0),
        ({"plans": plan(rate=4, burst=30)}, "plans[corner].burst", 20.0),
        ({"plans": plan(ceiling_rate=5)}, "plans[corner].ceiling_rate", 5.0),
        ({"safety": {"start_capacity": 0.1}}, "safety.start_capacity", 0.1),
        ({"safety": {"cold_ms": 30_000}}, "safety.cold_ms", 30_000.0),
        (
            {"classes": [BASE["classes"][0] | {"effect": "unsafe"}, BASE["classes"][1]]},
            "classes[quote].effect",
            "unsafe",
        ),
        (
            {"classes": [BASE["classes"][0], BASE["classes"][1] | {"group": "cell"}]},
            "classes[book].effect",
            "unsafe",
        ),
        (
            {
                "fleet": {
                    "static": [
                        {"address": "127.0.0.1:9001", "state": "draining"},
                        {"address": "127.0.0.1:9002"},
                    ]
                }
            },
            "fleet.static[127.0.0.1:9001].state",
            "draining",
        ),
        (
            {"fleet": {"static": [{"address": "127.0.0.1:9001"}]}},
            "fleet.static[127.0.0.1:9002].state",
            "draining",
        ),
        ({"counter": {"parts": ["127.0.0.1:6380"]}}, "counter", None),
        ({"max_attempts": 1}, "max_attempts", 1),
    ],
)
def test_most_restrictive_of_two_versions_violates_neither(
    changes: dict[str, Any], path: str, restricted: object
) -> None:
    old, new = doc(), doc(**changes)
    assert documents.flatten(documents.most_restrictive([old, new]))[path] == restricted
    assert documents.flatten(documents.most_restrictive([new, old])).get(path, restricted) == restricted
    assert documents.needs_joint_phase(old, new)


def test_a_change_that_only_widens_or_contradicts_nothing_needs_no_joint_phase() -> None:
    wider = doc(
        plans=plan(rate=20),
        routes=[*BASE["routes"], {"method": "GET", "path": "/new", "class": "quote"}],
        fleet={"static": [*BASE["fleet"]["static"], {"address": "127.0.0.1:9003"}]},
    )
    assert not documents.needs_joint_phase(doc(), wider) and documents.needs_joint_phase(wider, doc())
    other_aim = doc(classes=[BASE["classes"][0] | {"aim_ms": 700}, BASE["classes"][1]])
    assert documents.compatible(doc(), other_aim) and not documents.compatible(doc(), wider)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"customers": {"width": 2}}, "customers.width"),
        ({"routes": [{"method": "GET", "path": "/q", "class": "none"}]}, "routes[0].class"),
        ({"fleet": {}}, "fleet"),
        ({"plans": [], "customers": {"default_plan": "corner"}}, "customers.default_plan"),
    ],
)
def test_a_document_that_no_instance_could_apply_is_rejected_with_the_path(
    changes: dict[str, Any], reason: str
) -> None:
    with pytest.raises(ValueError, match=reason.replace("[", r"\[").replace("]", r"\]")):
        documents.check(doc(**changes))


def test_classes_and_plans_must_keep_their_order_and_the_fleet_its_source() -> None:
    with pytest.raises(ValueError, match="classes"):
        documents.check_change(doc(), doc(classes=BASE["classes"][::-1]))
    with pytest.raises(ValueError, match=r"fleet"):
        documents.check_change(doc(), doc(fleet={"feed": "127.0.0.1:9"}))


# ---- the state


def extend(state: State, *bodies: Any) -> State:
    for body in bodies:
        state.check(body)
        state.apply(make_entry(state.number + 1, state.chain, body))
    return state


def proposed(document: Document, base: int, token: str = "") -> Proposed:
    return Proposed(document, base, "ann", "why", token or f"t{base}", 0.0)


def state_with_members(*incarnations: str) -> State:
    state = extend(State(), proposed(doc(), 0), InForce(1))
    return extend(
        state,
        Joined(tuple(Newcomer(f"i-{incarnation}", incarnation) for incarnation in incarnations)),
        RosterSettled(3),
    )


def total_share(state: State) -> float:
    return state.share * len(state.members) + sum(h.share for h in state.held.values())


def test_shares_add_up_to_the_whole_and_grow_only_once_all_members_applied_the_change() -> None:
    state = state_with_members("a", "b")
    assert state.share == pytest.approx(0.5)
    extend(state, Joined((Newcomer("i-c", "c"),)))
    assert state.share == pytest.approx(1 / 3) and not state.members["c"].active
    extend(state, RosterSettled(state.number), Left(("b",)))
    assert state.share == pytest.approx(1 / 3)  # not until all members have applied the departure of b
    with pytest.raises(InvalidEntry):
        state.check(RosterSettled(state.unsettled_number - 1))
    extend(state, RosterSettled(state.number))
    assert state.share == pytest.approx(0.5) and sorted(m.index for m in state.members.values()) == [0, 1]


def test_a_lost_instance_keeps_share_and_index_until_it_is_on_the_least_share() -> None:
    state = extend(state_with_members("a", "b", "c"), Lost(("b",), (1,)), RosterSettled(5))
    assert state.held["b"].share == pytest.approx(1 / 3) and total_share(state) == pytest.approx(1)
    extend(state, Joined((Newcomer("i-d", "d"),)), RosterSettled(state.number + 1))
    assert state.held["b"].index not in {m.index for m in state.members.values()}
    assert total_share(state) == pytest.approx(1)
    extend(state, ShareReduced(("b",)), RosterSettled(state.number + 1))
    assert state.held["b"].share == state.terms.least_share and total_share(state) == pytest.approx(1)
    assert sorted(m.index for m in state.members.values()) == [0, 1, 2]
    assert state.gateway_count(state.share) >= 3


def test_a_limit_is_not_lowered_below_what_a_lost_instance_may_act_on() -> None:
    state = extend(state_with_members("a", "b"), Lost(("b",), (1,)), RosterSettled(5))
    assert not state.safe_with_held_shares(doc(plans=plan(rate=5))) and state.safe_with_held_shares(
        doc(plans=plan(rate=50))
    )
    extend(state, ShareReduced(("b",)))
    assert state.safe_with_held_shares(doc(plans=plan(rate=5))) and not state.safe_with_held_shares(
        doc(plans=plan(rate=0.5))
    )


def test_a_newcomer_has_a_share_even_if_lost_instances_hold_everything() -> None:
    state = extend(
        state_with_members("a"), Lost(("a",), (1,)), Joined((Newcomer("i-b", "b"),)), RosterSettled(6)
    )
    assert state.held["a"].share == pytest.approx(1) and 0 < state.share < 1e-6
    assert (
        state.gateway_count(state.share) > 1e6
        and state_with_members("a", "b", "c").gateway_count(state_with_members("a", "b", "c").share) == 3
    )


def test_without_a_lease_the_share_still_shrinks_with_the_entries_applied() -> None:
    state, lease = state_with_members("a", "b"), Lease("a", "i-a", 3)
    confirm(lease, state, 0.0)
    assert lease.effective_settings(1.0).share == pytest.approx(1 / 2)
    later = state.terms.lease_ms + 1
    extend(state, Joined((Newcomer("i-c", "c"),)))
    # updates from a single keeper, without a majority
    lease.handle_reply(0, RenewReply(later, state.number, True, True, updates=CatchUp((), encode(state))))
    assert not lease.effective_settings(later).has_lease and lease.effective_settings(
        later
    ).share == pytest.approx(1 / 3)


def test_an_inapplicable_forced_version_ends_the_lease_until_another_is_in_force() -> None:
    state, lease = state_with_members("a"), Lease("a", "i-a", 3)
    extend(state, proposed(doc(max_attempts=2), 1))
    confirm(lease, state, 0.0)
    assert lease.record_applicability(2, "no such thing") and not lease.record_applicability(
        2, "no such thing"
    )
    extend(state, InForce(2, True), proposed(doc(max_attempts=1), 2))
    confirm(lease, state, 10.0)
    lease.record_applicability(3, "")  # that the next one can be applied does not change that
    assert (
        not lease.effective_settings(11.0).has_lease and "no such thing" in lease.effective_settings(11.0).why
    )
    extend(state, JointPhaseStarted(3), InForce(3))
    confirm(lease, state, 20.0)
    assert lease.effective_settings(21.0).has_lease


def test_a_name_belongs_to_one_process_and_the_roster_is_bounded() -> None:
    state = state_with_members("a")
    with pytest.raises(InvalidEntry, match="another process lives"):
        state.check(Joined((Newcomer("i-a", "x"),)))
    extend(state, Joined((Newcomer("i-a", "x", "a"),)))
    assert set(state.members) == {"x"} and state.members["x"].index == 0
    state.documents[1] = doc(terms={"most_instances": 1})
    with pytest.raises(InvalidEntry, match="most_instances"):
        state.check(Joined((Newcomer("i-y", "y"),)))


def test_a_proposal_with_an_outdated_base_is_rejected_naming_the_newer_version() -> None:
    state = extend(state_with_members("a"), proposed(doc(max_attempts=2), 1))
    with pytest.raises(InvalidEntry, match=r"version 2 by ann \(why\) came meanwhile"):
        state.check(proposed(doc(max_attempts=1), 1))
    extend(state, proposed(doc(max_attempts=1), 2), JointPhaseStarted(2), InForce(2))
    assert state.version == 2 and [p.version for p in state.queue] == [3]


def test_a_state_round_trips_and_an_entry_of_another_history_is_rejected() -> None:
    state = state_with_members("a", "b")
    assert encode(decode(encode(state))) == encode(state)
    with pytest.raises(ValueError, match="does not follow"):
        state.apply(make_entry(state.number + 1, EMPTY_CHAIN, Left(("a",))))
    with pytest.raises(ValueError, match="no state"):
        decode(b"\x01")


# ---- the lease


def confirm(lease: Lease, state: State, sent: float, keepers: int = 2) -> None:
    for keeper in range(keepers):
        lease.handle_reply(
            keeper, RenewReply(sent, state.number, True, True, updates=CatchUp((), encode(state)))
        )


def test_a_lease_counts_from_the_requests_that_a_majority_confirmed() -> None:
    state, lease = state_with_members("a"), Lease("a", "i-a", 3)
    confirm(lease, state, 100.0, 1)
    assert not lease.effective_settings(110.0).has_lease
    lease.handle_reply(2, RenewReply(400.0, state.number, True, True))
    assert lease.expires_at(410.0) == 100.0 + state.terms.lease_ms
    lease.handle_reply(1, RenewReply(300.0, state.number, False, True))  # not certain, so it confirms nothing
    assert lease.expires_at(410.0) == 100.0 + state.terms.lease_ms
    assert (
        lease.effective_settings(410.0).has_lease
        and not lease.effective_settings(lease.expires_at(410.0)).has_lease
    )


def test_without_a_lease_the_share_is_kept_for_a_time_and_repeats_are_forbidden() -> None:
    state, lease = state_with_members("a", "b"), Lease("a", "i-a", 3)
    confirm(lease, state, 0.0)
    assert lease.effective_settings(1.0).share == pytest.approx(0.5)
    terms = state.terms
    effective = lease.effective_settings(terms.lease_ms + 1)
    assert not effective.has_lease and effective.share == pytest.approx(0.5) and effective.number == 0
    assert {c.effect for c in effective.document.classes} == {"unsafe"}
    # after a suspension: the time on the old share counts from the end of the lease, not from the resumption
    assert lease.effective_settings(terms.lease_ms + terms.unled_ms + 1).share == pytest.approx(
        terms.least_share * 0.1
    )


def test_a_reply_from_a_keeper_with_a_diverged_history_is_ignored() -> None:
    state, lease = state_with_members("a"), Lease("a", "i-a", 3)
    confirm(lease, state, 0.0)
    assert (
        not lease.handle_reply(2, RenewReply(900.0, 1, True, True, diverged=True))
        and 2 not in lease.confirmed_at
    )


# ---- the reconciler


def test_a_silent_instance_is_declared_lost_but_a_new_leader_waits_a_window_first() -> None:
    state, reports = state_with_members("a", "b"), Reports()
    reconciler = Reconciler(reports)
    reconciler.reset_waits(0.0)
    window = state.terms.window_ms
    reports.record(window + 500, Report("a", "i-a", state.number))
    assert reconciler.next_entry(window, state) is None
    assert reconciler.next_entry(window + 600, state) == Lost(("b",), (1,))
    extend(state, Lost(("b",), (1,)))
    reports.record(window + 700, Report("a", "i-a", state.number))
    assert reconciler.next_entry(window + 800, state) == RosterSettled(state.number)


def test_a_version_waits_until_all_are_ready_then_passes_the_joint_phase() -> None:
    state, reports = state_with_members("a", "b"), Reports()
    reconciler = Reconciler(reports)
    extend(state, proposed(doc(plans=plan(rate=5)), 1))
    reports.record(0.0, Report("a", "i-a", state.number, 2))
    reports.record(0.0, Report("b", "i-b", state.number, 1))
    assert reconciler.next_entry(1.0, state) is None and "i-b" in reconciler.waits_for(1.0, state)
    reports.record(2.0, Report("b", "i-b", state.number, 2))
    assert reconciler.next_entry(3.0, state) == JointPhaseStarted(2)
    extend(state, JointPhaseStarted(2))
    assert state.document_for("i-a").plans[0].rate == 5 and state.version == 1
    assert reconciler.next_entry(4.0, state) is None
    for incarnation in "ab":
        reports.record(5.0, Report(incarnation, f"i-{incarnation}", state.number, 2))
    assert reconciler.next_entry(6.0, state) == InForce(2)


# ---- keeper and disk


def test_a_starting_keeper_does_not_vote_before_all_others_replied() -> None:
    keeper = Keeper(0, 3, DurableState(), 1, 0.0)
    assert [a.to for a in keeper.begin(0.0) if isinstance(a, Send)] == [1, 2]
    assert keeper.tick(10_000.0) and keeper.role == "follower" and not keeper.certain


def test_a_log_file_with_a_torn_write_is_read_up_to_it(tmp_path: Path) -> None:
    file = LogFile(tmp_path, 1 << 20)
    file.load()
    first = make_entry(1, EMPTY_CHAIN, Left(("a",)))
    file.write(Save((1, 0), None, (first,)), State())
    file.write(Save((2, 1), None, (make_entry(2, first.chain, Left(("b",))),)), State())
    file.close()
    path = tmp_path / "keeper.log"
    path.write_bytes(path.read_bytes()[:-3])
    found, truncated_bytes = LogFile(tmp_path, 1 << 20).load()
    assert found.promised == (1, 0) and [e.number for e in found.entries or []] == [1] and truncated_bytes > 0


def test_a_long_log_file_is_replaced_by_a_snapshot(tmp_path: Path) -> None:
    file, state = LogFile(tmp_path, 300), State()
    file.load()
    for number in range(20):
        entry = make_entry(number + 1, state.chain, Left((f"x{number}",)))
        state.apply(entry)
        file.write(Save((1, 0), None, (entry,)), state)
    assert file.compactions and file.size < 1000
    found, _ = LogFile(tmp_path, 300).load()
    assert Keeper(0, 3, found, 1, 0.0).state.number == 20


# ---- the admission module


def test_a_change_of_the_gateway_count_never_grants_quota_twice() -> None:
    quota_plan = Plan(rate=10, burst=30)
    module = gateway(plans=(quota_plan,), gateways=3, index=0)
    for number in range(12):
        module.handle(START, request(number, customer=1, width=9))
    customer = module.customers[1]
    tokens_before = customer.tokens
    assert tokens_before < 5
    module.handle(START, SettingsChanged(settings(plans=(quota_plan,), gateways=2, index=0)))
    module.handle(START, request(90, customer=1, width=9))
    # the added part of the bucket is empty
    assert customer.even_share == 0.5 and customer.tokens <= tokens_before
    # a customer that is new here: other gateways may have spent the added part
    module.handle(START, request(91, customer=2, width=9))
    assert module.customers[2].tokens <= 30 / 3
    module.handle(START, SettingsChanged(settings(plans=(quota_plan,), gateways=10, index=0)))
    module.handle(START, request(92, customer=2, width=99))
    assert module.customers[2].tokens <= 30 / 10


def test_the_buckets_of_a_new_gateway_start_empty_and_fill_at_their_rate() -> None:
    quota_plan = Plan(rate=10, burst=30)
    module = gateway(plans=(quota_plan,), gateways=5, index=4)
    module.handle(START, SettingsChanged(settings(plans=(quota_plan,), gateways=5, index=4), True))
    refused = module.handle(START, request(1, customer=1, width=5))
    assert module.customers[1].tokens < 0.01 and not any(isinstance(a, SendRequest) for a in refused)
    assert isinstance(refused[-1], Refuse)
    assert any(
        isinstance(a, SendRequest) for a in module.handle(START + 3000, request(2, customer=1, width=5))
    )


# ---- bad input


@pytest.mark.parametrize(
    ("arguments", "text", "message"),
    [
        (["keeper", "FILE"], "me: 3\nkeepers: ['127.0.0.1:1']\nstate_dir: x\nkey: y\n", "me: 3 is not below"),
        (
            ["keeper", "FILE"],
            "me: 0\nkeepers: ['127.0.0.1:1', '127.0.0.1:2']\nstate_dir: x\nkey: y\n",
            "2 tolerate no more failures than 1",
        ),
        (["keeper", "FILE"], "me: 0\nkeepers: ['127.0.0.1:1']\nstate_dir: x\nkey: /nowhere\n", "/nowhere"),
        (
            ["keeper", "FILE"],
            "me: 0\nkeepers: ['127.0.0.1:1']\nstate_dir: x\nkey: KEY\nfirst_settings: /none.yaml\n",
            "/none.yaml",
        ),
        (["settings", "--keepers", "127.0.0.1:1", "--key", "/nowhere", "show"], "", "/nowhere"),
        (["settings", "show"], "", "--keepers and --key are needed"),
        (["settings", "propose", "FILE", "--reason", "r"], "classes: []\n", "classes"),
        (["settings", "propose", "FILE", "--reason", "r"], "classes: [{name: q}]\n", "aim_ms"),
        (["serve", "FILE"], "agreement: {keepers: [], public_key: p, name: n}\n", "agreement.keepers"),
        (
            ["serve", "FILE"],
            "agreement: {keepers: ['127.0.0.1:1'], public_key: /nowhere, name: n}\n"
            "introspection: {url: 'http://127.0.0.1:1/', client_id: c}\n",
            "/nowhere",
        ),
    ],
)
def test_bad_input_is_reported_in_one_line(
    tmp_path: Path, arguments: list[str], text: str, message: str
) -> None:
    file = tmp_path / "file.yaml"
    create_key_pair(tmp_path / "fleet")
    file.write_text(
        text.replace("KEY", str(tmp_path / "fleet.key")).replace("state_dir: x", f"state_dir: {tmp_path}/x")
    )
    result = CliRunner().invoke(cli, [str(file) if a == "FILE" else a for a in arguments])
    assert isinstance(result.exception, ValueError) and message in str(result.exception)
    assert "\n" not in str(result.exception)
