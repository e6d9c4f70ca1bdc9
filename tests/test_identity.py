"""API keys, the registry's state and store, and the follower, without sockets."""

from __future__ import annotations

import math
import os
import shutil
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tamarindfold.identity import keys, resolve, saved_copy
from tamarindfold.identity.audit import audit
from tamarindfold.identity.confirm import Confirmations, SendQuery, ReleaseWaiters
from tamarindfold.identity.follower import Applied, UpToDate, Follower, Rejected
from tamarindfold.identity.history import History
from tamarindfold.identity.model import (
    AddCustomer,
    Adopt,
    DefinePlan,
    Issue,
    Move,
    PlanFigures,
    Retire,
    Revoke,
    SetNetworks,
    SetPlan,
)
from tamarindfold.identity.state import InvalidChange
from tamarindfold.identity.store import Store, StoreError
from tamarindfold.identity.tables import BadTables, Tables, build_snapshot
from tamarindfold.identity.wire import BadUpdate, decode_update, encode_update

PEPPER = b"p" * 32
SIGNING = Ed25519PrivateKey.generate()
FIGURES = PlanFigures(5, 10)
BASE = [
    DefinePlan("small", FIGURES),
    DefinePlan("large", PlanFigures(50, 100)),
    AddCustomer("anna", "small", 1),
    AddCustomer("bert", "large", 1),
]


def client(name: str, customer: str, from_ms: float = 0.0) -> Issue:
    return Issue(name, "client", *keys.hash_client_id(name), customer, from_ms)


def make_history(*changes, at: float = 1000.0) -> History:
    history = History()
    for number, change in enumerate([*BASE, *changes], 1):
        history.extend(change, at, 100 + number)
    return history


def make_tables(history: History) -> Tables:
    return Tables(history.snapshot())


# ---- keys


def test_generated_key_parses_and_a_single_wrong_character_is_detected() -> None:
    key_id, text = keys.generate()
    assert keys.parse(text)[0] == key_id and keys.looks_like_key(text)
    assert keys.label(key_id) == text[:17]
    for at in range(4, len(text)):
        for other in "0a":
            wrong = text[:at] + other + text[at + 1 :]
            if wrong != text:
                with pytest.raises(keys.BadKey):
                    keys.parse(wrong)


@pytest.mark.parametrize("text", ["", "tfk_", "tfk_" + "z" * 47, "TFK_" + "0" * 13, "x" * 10_000, "tfk_é"])
def test_malformed_key_is_rejected(text) -> None:
    with pytest.raises(keys.BadKey):
        keys.parse(text)


def test_key_resolves_only_with_its_secret_and_the_right_pepper() -> None:
    key_id, text = keys.generate()
    history = make_history(Issue("k", "key", key_id, keys.digest(PEPPER, keys.parse(text)[1]), "anna"))
    assert resolve.by_key(make_tables(history), text, PEPPER, 2000, 0) == resolve.ResolvedCredential(
        1, 0, key_id, math.inf
    )
    body = text[:18] + "0" * 26
    forged = body + "_" + keys._checksum(body)
    assert resolve.by_key(make_tables(history), forged, PEPPER, 2000, 0) == resolve.Denied(
        "no such credential"
    )
    assert resolve.by_key(make_tables(history), text, b"q" * 32, 2000, 0) == resolve.Denied(
        "no such credential"
    )
    assert resolve.by_key(make_tables(history), keys.generate()[1], PEPPER, 2000, 0).unknown


# ---- validation of changes

INVALID_CHANGES = [
    DefinePlan("small", PlanFigures(-1, 1)),
    DefinePlan("", FIGURES),
    DefinePlan("a b", FIGURES),
    DefinePlan("x", PlanFigures(math.nan, 1)),
    AddCustomer("anna", "small", 1),
    AddCustomer("carl", "small", 2),
    AddCustomer("carl", "gold", 1),
    AddCustomer("carl", "small", 1, ("10.0.0.1/8",)),
    SetNetworks("carl", ()),
    SetNetworks("anna", ("nowhere",)),
    SetPlan("anna", "large", 2, 2000),
    SetPlan("carl", "large", 1, 2000),
    SetPlan("anna", "large", 1, 999),
    SetPlan("anna", "large", 1, math.inf),
    client("till", "anna"),
    client("new", "carl"),
    Issue("n", "password", 1, b"0" * 16, "anna"),
    Issue("n", "key", 1, b"0", "anna"),
    Issue("n", "key", 1 << 64, b"0" * 16, "anna"),
    Issue("n", "key", keys.hash_client_id("till")[0], b"0" * 16, "anna"),
    Issue("n", "key", 1, b"0" * 16, "anna", math.nan),
    Retire("none", 2000),
    Retire("till", 999),
    Retire("till", math.inf),
    Retire("later", 5000),
    Revoke("none", 1000),
    Revoke("gone", 1000),
    Retire("gone", 2000),
    Move("till", "anna", 2000),
    Move("till", "carl", 2000),
    Move("till", "bert", 999),
    Move("gone", "bert", 2000),
    Move("moving", "anna", 2000),
    Adopt(1),
]


@pytest.mark.parametrize("change", INVALID_CHANGES, ids=lambda c: type(c).__name__)
def test_invalid_change_leaves_the_state_unmodified(change) -> None:
    history = make_history(
        client("till", "anna"),
        client("gone", "anna"),
        Revoke("gone", 1000),
        client("later", "anna", 9000),
        client("moving", "anna"),
        Move("moving", "bert", 5000),
    )
    before = build_snapshot(history.state, 0)
    with pytest.raises(InvalidChange):
        history.extend(change, 1000.0, 1)
    assert build_snapshot(history.state, 0) == before


# ---- times of effect and clock skew


def test_transfer_takes_effect_at_its_time_without_skew_tolerance() -> None:
    tables = make_tables(make_history(client("till", "anna"), Move("till", "bert", 5000)))
    assert [resolve.by_client(tables, "till", at, 1000).customer for at in (4999, 5000, 5001)] == [1, 2, 2]


def test_validity_period_is_extended_by_the_skew_but_a_revocation_is_immediate() -> None:
    tables = make_tables(make_history(client("till", "anna", 3000), Retire("till", 5000)))
    valid = [
        isinstance(resolve.by_client(tables, "till", at, 1000), resolve.ResolvedCredential)
        for at in (1999, 2000, 4999, 5999, 6000)
    ]
    assert valid == [False, True, True, True, False]
    tables = make_tables(make_history(client("till", "anna"), Revoke("till", 1000)))
    assert resolve.by_client(tables, "till", 500, 10_000) == resolve.Denied("the credential was revoked")


def test_plan_change_takes_effect_at_its_time() -> None:
    tables = make_tables(make_history(client("till", "anna"), SetPlan("anna", "large", 1, 5000)))
    assert [resolve.by_client(tables, "till", at, 1000).plan for at in (4999, 5000)] == [0, 1]


# ---- following the registry


def test_delta_is_applied_in_sequence_and_a_gap_requests_a_snapshot() -> None:
    history, follower = make_history(client("till", "anna")), Follower()
    request = follower.next_request()
    assert isinstance(
        follower.apply_update(
            history.since(request.epoch, request.after, request.chain, request.want_snapshot), 1.0
        ),
        Applied,
    )
    history.extend(SetPlan("anna", "large", 1, 2000), 1500.0, 201)
    request = follower.next_request()
    delta = history.since(request.epoch, request.after, request.chain, request.want_snapshot)
    assert len(delta.customers) == 1 and not delta.credentials
    history.extend(client("second", "bert"), 1500.0, 202)
    later = history.since(1, 6, 201, False)
    assert isinstance(follower.apply_update(later, 2.0), Rejected) and follower.next_request().want_snapshot
    assert follower.tables.version == 5
    assert isinstance(follower.apply_update(delta, 2.0), Applied)
    assert isinstance(follower.apply_update(later, 2.0), Applied)
    assert isinstance(follower.apply_update(delta, 3.0), UpToDate)  # arrives late on the other connection
    assert resolve.by_client(follower.tables, "second", 2000, 0).customer == 2


def test_delta_that_overlaps_the_version_held_is_applied() -> None:
    history, follower = make_history(), Follower()
    follower.apply_update(history.snapshot(), 1.0)
    history.extend(DefinePlan("mid", FIGURES), 1500.0, 201)
    first = history.since(1, 4, 104, False)
    history.extend(AddCustomer("carl", "mid", 1), 1500.0, 202)
    both = history.since(1, 4, 104, False)
    follower.apply_update(first, 1.0)
    assert isinstance(follower.apply_update(both, 1.0), Applied)
    assert [p.plan for p in follower.tables.plans] == ["small", "large", "mid"]
    assert follower.tables.customer(3).plan == 2


def test_registry_restored_from_an_old_backup_is_followed_only_after_adoption() -> None:
    history, follower = make_history(client("till", "anna")), Follower()
    follower.apply_update(history.snapshot(), 1.0)
    history.extend(Revoke("till", 1500.0), 1500.0, 201)
    follower.apply_update(history.since(1, 5, 105, False), 2.0)
    restored = make_history(client("till", "anna"))  # the revocation is lost
    for answer in (restored.since(1, 6, 201, False), restored.since(1, 6, 201, True), restored.snapshot()):
        result = follower.apply_update(answer, 3.0)
        assert isinstance(result, Rejected) and result.rolled_back
    restored.extend(client("x", "anna"), 1600.0, 301)
    restored.extend(client("y", "anna"), 1600.0, 302)
    # Its version is now higher than the follower's, but its history has diverged.
    result = follower.apply_update(restored.since(1, 6, 201, False), 3.0)
    assert isinstance(result, Rejected) and result.rolled_back
    assert isinstance(resolve.by_client(follower.tables, "till", 2000, 0), resolve.Denied)
    restored.extend(Adopt(2), 1700.0, 303)
    assert isinstance(follower.apply_update(restored.since(1, 6, 201, False), 4.0), Applied)
    assert isinstance(resolve.by_client(follower.tables, "till", 2000, 0), resolve.ResolvedCredential)


def test_truncated_altered_or_wrongly_signed_envelope_is_rejected() -> None:
    data = encode_update(make_history().snapshot(), 1.0, SIGNING)
    public = SIGNING.public_key()
    assert decode_update(data, public)[0].version == 4
    with pytest.raises(BadUpdate, match="another key"):
        decode_update(data, Ed25519PrivateKey.generate().public_key())
    for at in range(0, len(data), 7):
        with pytest.raises(BadUpdate):
            decode_update(data[:at], public)
        with pytest.raises(BadUpdate):
            decode_update(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], public)


def test_snapshot_with_inconsistent_columns_is_rejected_and_the_old_tables_stay() -> None:
    from dataclasses import replace

    snapshot = make_history(client("till", "anna")).snapshot()
    follower = Follower()
    follower.apply_update(snapshot, 1.0)
    held = follower.tables
    for field in ("names", "index", "digests", "customers", "moved_at", "flags", "customer_next"):
        cut = replace(
            snapshot,
            version=9,
            columns=replace(snapshot.columns, **{field: getattr(snapshot.columns, field)[:-1]}),
        )
        with pytest.raises(BadTables):
            Tables(cut)
        assert isinstance(follower.apply_update(cut, 2.0), Rejected) and follower.tables is held


def test_saved_copy_truncated_anywhere_loads_up_to_its_last_complete_envelope(tmp_path) -> None:
    history, path, public = make_history(), tmp_path / "copy.bin", SIGNING.public_key()
    saved_copy.save(path, encode_update(history.snapshot(), 1.0, SIGNING), True)
    sizes = {path.stat().st_size: 4}
    for i in range(3):
        history.extend(client(f"c{i}", "anna"), 1500.0, 201 + i)
        saved_copy.save(
            path, encode_update(history.since(1, 4 + i, 200 + i if i else 104, False), 1.0, SIGNING), False
        )
        sizes[path.stat().st_size] = 5 + i
    data = path.read_bytes()
    for cut in range(0, len(data) + 1, 3):
        path.write_bytes(data[:cut])
        follower = Follower()
        fault = saved_copy.load(path, public, follower)
        version = max((v for size, v in sizes.items() if size <= cut), default=0)
        assert (follower.tables.version if follower.tables else 0) == version
        assert bool(fault) == (cut not in (0, *sizes))
    path.write_bytes(data[:200] + b"\0" + data[201:])
    follower = Follower()
    assert saved_copy.load(path, public, follower)
    assert follower.tables is None


def test_one_query_serves_all_requests_that_arrived_before_it() -> None:
    confirmations = Confirmations()
    assert confirmations.join_round() == (1, [SendQuery()])
    # The query in flight was sent before these two arrived.
    assert confirmations.join_round() == (2, []) and confirmations.join_round() == (2, [])
    assert confirmations.answered(True) == [ReleaseWaiters(1, True), SendQuery()]
    assert confirmations.answered(False) == [ReleaseWaiters(2, False)]
    assert confirmations.join_round() == (3, [SendQuery()])


# ---- comparison with a simple model

NAMES = ("t1", "t2", "t3")
CUSTOMERS = ("anna", "bert")
SPAN = st.integers(0, 40).map(float)


class CredentialChanges(RuleBasedStateMachine):
    """Applies changes in any order at any times and compares a follower with a plain record of the changes."""

    @initialize()
    def begin(self) -> None:
        self.now, self.history, self.follower = 1000.0, make_history(), Follower()
        self.follower.apply_update(self.history.snapshot(), 1.0)
        self.owner: dict[str, list[tuple[float, str]]] = {}
        self.validity: dict[str, tuple[float, float]] = {}
        self.revoked: set[str] = set()
        self.plan = {"anna": [(0.0, 0)], "bert": [(0.0, 1)]}

    def commit(self, change) -> bool:
        try:
            self.history.extend(change, self.now, self.history.state.version + 101)
        except InvalidChange:
            return False
        return True

    @rule(span=SPAN)
    def wait(self, span) -> None:
        self.now += span

    @rule(name=st.sampled_from(NAMES), customer=st.sampled_from(CUSTOMERS), span=SPAN)
    def issue(self, name, customer, span) -> None:
        if self.commit(client(name, customer, self.now + span)):
            assert name not in self.owner
            self.owner[name], self.validity[name] = [(0.0, customer)], (self.now + span, math.inf)

    @rule(name=st.sampled_from(NAMES), span=SPAN)
    def retire(self, name, span) -> None:
        if self.commit(Retire(name, self.now + span)):
            self.validity[name] = self.validity[name][0], self.now + span

    @rule(name=st.sampled_from(NAMES))
    def revoke(self, name) -> None:
        if self.commit(Revoke(name, self.now)):
            self.revoked.add(name)

    @rule(name=st.sampled_from(NAMES), customer=st.sampled_from(CUSTOMERS), span=SPAN)
    def move(self, name, customer, span) -> None:
        if self.commit(Move(name, customer, self.now + span)):
            self.owner[name].append((self.now + span, customer))

    @rule(customer=st.sampled_from(CUSTOMERS), plan=st.sampled_from((("small", 0), ("large", 1))), span=SPAN)
    def set_plan(self, customer, plan, span) -> None:
        if self.commit(SetPlan(customer, plan[0], 1, self.now + span)):
            self.plan[customer].append((self.now + span, plan[1]))

    @rule()
    def restart(self) -> None:
        self.follower = Follower()

    @invariant()
    def follower_agrees_with_the_record(self) -> None:
        request = self.follower.next_request()
        result = self.follower.apply_update(
            self.history.since(request.epoch, request.after, request.chain, request.want_snapshot), self.now
        )
        assert isinstance(result, Applied | UpToDate)
        for at in (self.now, self.now + 15.0, self.now + 100.0):
            for name in NAMES:
                found = resolve.by_client(self.follower.tables, name, at, 0.0)
                begins, ends = self.validity.get(name, (math.inf, math.inf))
                if name in self.revoked or not begins <= at < ends:
                    assert isinstance(found, resolve.Denied)
                    continue
                customer = [owner for since, owner in self.owner[name] if since <= at][-1]
                plan = [p for since, p in self.plan[customer] if since <= at][-1]
                assert (found.customer, found.plan) == (CUSTOMERS.index(customer) + 1, plan)


CredentialChanges.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestCredentialChanges = CredentialChanges.TestCase


# ---- the store


def create_store(path: Path) -> Store:
    store = Store(path, create=True)
    store.commit(BASE, 1000.0)
    return store


CRASHING_COMMIT = """
import os, sys
from pathlib import Path
from tamarindfold.identity.model import *
from tamarindfold.identity.store import Store
seen = 0
def step(name):
    global seen
    seen += 1
    if seen == int(sys.argv[2]):
        os._exit(9)
store = Store(Path(sys.argv[1]), on_step=step)
store.commit([AddCustomer("carl", "small", 1), AddCustomer("dora", "large", 1)], 2000.0)
"""


def test_commit_killed_at_any_step_is_complete_or_absent(tmp_path) -> None:
    steps = ["before", "begun", "inserted", "inserted", "committed"]
    for point, name in enumerate([*steps, "past the end"], 1):
        path = tmp_path / f"{point}.db"
        create_store(path).close()
        done = subprocess.run([sys.executable, "-c", CRASHING_COMMIT, str(path), str(point)], check=False)
        assert done.returncode == (0 if name == "past the end" else 9)
        store = Store(path)
        assert store.history.state.version == (6 if point >= 5 else 4), name
        assert store.commit([AddCustomer("emil", "small", 1)], 3000.0) == store.history.state.version
        store.close()


def test_write_ahead_log_truncated_anywhere_ends_with_a_complete_commit(tmp_path) -> None:
    store = create_store(tmp_path / "r.db")
    for i in range(3):
        store.commit([AddCustomer(f"c{i}", "small", 1), client(f"t{i}", f"c{i}")], 2000.0 + i)
    versions = set()
    wal = (tmp_path / "r.db-wal").read_bytes()
    for cut in (*range(0, len(wal), 997), len(wal)):
        folder = tmp_path / str(cut)
        folder.mkdir()
        shutil.copy(tmp_path / "r.db", folder / "r.db")
        (folder / "r.db-wal").write_bytes(wal[:cut])
        try:
            opened = Store(folder / "r.db")
        except StoreError:
            assert not versions  # not even the schema had been committed
            continue
        assert opened.history.state.version >= max(versions, default=0)
        versions.add(opened.history.state.version)
        opened.close()
    assert versions <= {0, 4, 6, 8, 10} and 10 in versions
    store.close()


def test_batch_is_committed_atomically(tmp_path) -> None:
    store = create_store(tmp_path / "r.db")
    with pytest.raises(InvalidChange):
        store.commit([AddCustomer("carl", "small", 1), AddCustomer("carl", "small", 1)], 2000.0)
    assert store.history.state.version == 4 and "carl" not in store.history.state.customers
    assert store.commit([AddCustomer("carl", "small", 1)], 2000.0) == 5
    store.close()


def test_two_writers_see_each_others_commits(tmp_path) -> None:
    first = create_store(tmp_path / "r.db")
    second = Store(tmp_path / "r.db")
    first.commit([AddCustomer("carl", "small", 1)], 2000.0)
    assert second.commit([AddCustomer("dora", "small", 1)], 2000.0) == 6
    assert first.refresh() and set(first.history.state.customers) == {"anna", "bert", "carl", "dora"}
    assert first.history.chains == second.history.chains


def test_log_is_append_only_and_tampering_is_detected(tmp_path) -> None:
    store = create_store(tmp_path / "r.db")
    with pytest.raises(sqlite3.IntegrityError, match="append-only"):
        store.db.execute("UPDATE log SET at_ms = 0")
    with pytest.raises(sqlite3.IntegrityError, match="append-only"):
        store.db.execute("DELETE FROM log")
    store.db.execute("DROP TRIGGER log_stays")
    store.db.execute("UPDATE log SET at_ms = 0 WHERE version = 2")
    store.close()
    with pytest.raises(StoreError, match="broken at version 2"):
        Store(tmp_path / "r.db")


@pytest.mark.parametrize(
    "make",
    [
        lambda p: None,
        lambda p: p.write_bytes(b"text" * 500),
        lambda p: sqlite3.connect(p).execute("CREATE TABLE t (a)"),
    ],
)
def test_file_that_is_not_a_store_is_rejected(tmp_path, make) -> None:
    make(tmp_path / "r.db")
    with pytest.raises(StoreError):
        Store(tmp_path / "r.db")


def test_look_up_and_delta_with_100_000_keys(tmp_path) -> None:
    history = make_history()
    for i in range(100_000):
        history.extend(
            Issue(f"k{i}", "key", (i * 0x9E3779B97F4A7C15) % 2**64, i.to_bytes(16, "big"), "anna"), 1000.0, i
        )
    follower = Follower()
    body, _ = decode_update(encode_update(history.snapshot(), 1.0, SIGNING), SIGNING.public_key())
    follower.apply_update(body, 1.0)
    assert follower.tables.rows == 100_000
    for i in range(0, 100_000, 997):
        assert follower.tables.credential((i * 0x9E3779B97F4A7C15) % 2**64).digest == i.to_bytes(16, "big")
    assert follower.tables.credential(12345) is None
    history.extend(Retire("k7", 5000.0), 1000.0, 1)
    follower.apply_update(history.since(1, history.state.version - 1, history.chains[-2], False), 1.0)
    assert follower.tables.credential(7 * 0x9E3779B97F4A7C15 % 2**64).ends_ms == 5000.0


# ---- the audit

DAY = 86_400_000.0


def test_audit_reports_each_kind_of_suspicious_use() -> None:
    changes = [
        SetNetworks("anna", ("10.1.0.0/16",)),
        SetNetworks("bert", ("10.2.0.0/16",)),
        *(client(name, "anna") for name in ("fine", "both", "foreign", "idle", "moved")),
        Move("moved", "bert", 2000.0),
        SetPlan("anna", "large", 1, 1000.0),
        SetPlan("anna", "small", 1, 1000.0),
        SetPlan("anna", "large", 1, 1000.0),
    ]
    history = make_history(*changes)
    log = [(n, 1000.0, change) for n, change in enumerate([*BASE, *changes], 1)]
    late = 100 * DAY
    uses = [
        ("fine", "10.1.7.0/24", 1000.0, late, 9),
        ("both", "10.1.7.0/24", 1000.0, late, 9),
        ("both", "10.2.7.0/24", 1000.0, late, 9),
        ("foreign", "10.2.1.0/24", 1000.0, late, 2),
        ("moved", "10.1.3.0/24", 1500.0, late, 3),
        ("ghost", "10.1.1.0/24", 1.0, late, 1),
    ]
    found = {(f.kind, f.subject): f for f in audit(history.state, log, uses, late)}
    assert set(found) == {
        ("two_networks", "both"),
        ("foreign_network", "foreign"),
        ("unused", "idle"),
        ("used_after_hand_over", "moved"),
        ("foreign_network", "moved"),
        ("unknown", "ghost"),
    }
    assert found["used_after_hand_over", "moved"].evidence["still_from"] == {"10.1.3.0/24": late}
    early = {(f.kind, f.subject) for f in audit(history.state, log, [], 1000.0 + DAY)}
    assert early == {("plan_jumps", "anna")}


def test_export_lists_and_store_contain_no_secret(tmp_path) -> None:
    command = [sys.executable, "-m", "tamarindfold.cli.main", "keys", "--store", str(tmp_path / "r.db")]

    def run(*words: str) -> str:
        return subprocess.run(
            [*command, *words],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent,
            env=os.environ,
        ).stdout

    run("init")
    run("plan", "small", "--rate", "5", "--burst", "10")
    run("add-customer", "anna", "--plan", "small@1")
    text = run("issue", "anna").split()[-1]
    secret = keys.parse(text)[1]
    shown = run("export") + run("list") + run("history")
    assert keys.label(keys.parse(text)[0]) in shown and secret not in shown
    assert secret.encode() not in (tmp_path / "r.db").read_bytes()
    new = run("rotate", text[:17], "--overlap", "15m").split()[-1]
    assert new != text and "retiring" in run("list")
