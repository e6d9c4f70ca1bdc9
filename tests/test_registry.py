"""Gateways that follow a registry over sockets, and the effect of plan changes on buckets."""

from __future__ import annotations

import time

import gevent
import pytest
from rig import wait_for

from tamarindfold.choice import Customer
from tamarindfold.identity import files, keys
from tamarindfold.identity.model import (
    AddCustomer,
    Adopt,
    DefinePlan,
    Issue,
    Move,
    PlanFigures,
    Retire,
    Revoke,
    SetPlan,
)
from tamarindfold.identity.store import Store
from tamarindfold.interface import Plan
from tamarindfold.registry.server import RegistryServer
from tamarindfold.standins.base import Fault


class RegistryFixture:
    """A store in a temporary folder, the server for it, and an operator's commits."""

    def __init__(self, folder) -> None:
        self.path = folder / "r.db"
        files.create_all(self.path)
        self.store = Store(self.path, create=True)
        self.pepper = files.pepper(files.pepper_path(self.path))
        self.commit(
            DefinePlan("small", PlanFigures(2, 6)),
            DefinePlan("large", PlanFigures(0.5, 60)),
            AddCustomer("anna", "large", 1),
            AddCustomer("bert", "small", 1),
        )
        self.server: RegistryServer | None = None
        self.port = 0
        self.open()

    def open(self) -> None:
        self.server = RegistryServer(
            Store(self.path), files.private_key(self.path), "127.0.0.1", self.port, lambda *_, **__: None
        )
        self.port = int(self.server.start().rpartition(":")[2])

    def close(self) -> None:
        if self.server is not None:
            self.server.stop()
            self.server = None

    def commit(self, *changes) -> int:
        return self.store.commit(changes, self.now())

    @staticmethod
    def now() -> float:
        return time.time() * 1000

    def issue_key(self, customer: str, from_ms: float = 0.0) -> tuple[str, str]:
        key_id, text = keys.generate()
        digest = keys.digest(self.pepper, keys.parse(text)[1])
        self.commit(Issue(keys.label(key_id), "key", key_id, digest, customer, from_ms))
        return keys.label(key_id), text

    def settings(self, **changes) -> dict:
        return {
            "registry": f"127.0.0.1:{self.port}",
            "public_key": str(files.public_path(self.path)),
            "pepper": str(files.pepper_path(self.path)),
            "reconnect_ms": 20,
        } | changes


@pytest.fixture
def registry(tmp_path):
    fixture = RegistryFixture(tmp_path)
    yield fixture
    fixture.close()
    fixture.store.close()


def gateway(rig, registry, folder, index: int = 0, **changes):
    r = rig(
        plans=[],
        identity=registry.settings(**changes),
        instance={"state_dir": str(folder), "index": index, "gateways": 3},
    )
    return r


def wait_until_current(registry, *rigs) -> None:
    version = registry.store.history.state.version
    wait_for(lambda: all(r.ingress.identity.version == version for r in rigs))


def test_key_is_accepted_in_either_header(rig, registry, tmp_path) -> None:
    r = gateway(rig, registry, tmp_path)
    _, key = registry.issue_key("anna")
    assert r.ask(token=key).status == 200
    assert r.ask(token=None, x_api_key=key).status == 200
    assert r.ask(token="good", x_api_key=key).status == 400
    assert {e["plan"] for e in r.entries("received")} == {"large@1"}


def test_new_key_is_accepted_at_once_by_gateways_that_have_not_received_it(rig, registry, tmp_path) -> None:
    """Old and new key are used at the same moment, on gateways whose long polls are stopped."""
    rigs = [gateway(rig, registry, tmp_path, i) for i in range(3)]
    wait_until_current(registry, *rigs)
    for r in rigs:
        r.ingress.identity.subscription.stop()
    old_label, old = registry.issue_key("anna")
    for r in rigs:
        assert r.ask(token=old).status == 200
    _, new = registry.issue_key("anna")
    registry.commit(Retire(old_label, registry.now() + 60_000))
    greenlets = [gevent.spawn(r.ask, token=key) for r in rigs for key in (old, new)]
    gevent.joinall(greenlets)
    assert [g.value.status for g in greenlets] == [200] * 6


def test_unknown_key_is_refused_only_after_the_registry_confirmed_it(rig, registry, tmp_path) -> None:
    r = gateway(rig, registry, tmp_path)
    wait_until_current(registry, r)
    _, unknown = keys.generate()
    assert r.ask(token=unknown).status == 401
    registry.close()
    answer = r.ask(token=unknown)
    assert (answer.status, answer.outcome) == (503, "refused")
    assert r.ask(token=keys.generate()[1][:-1] + "u").status == 401  # mistyped: no look-up needed


def test_many_unknown_keys_share_one_query_at_a_time(rig, registry, tmp_path) -> None:
    r = gateway(rig, registry, tmp_path)
    wait_until_current(registry, r)
    greenlets = [gevent.spawn(r.ask, token=keys.generate()[1]) for _ in range(60)]
    gevent.joinall(greenlets)
    assert {g.value.status for g in greenlets} == {401}
    assert r.ingress.identity.confirmations.round < 30


def test_gateway_starts_from_its_saved_copy_while_the_registry_is_down(rig, registry, tmp_path) -> None:
    _, key = registry.issue_key("anna")
    first = gateway(rig, registry, tmp_path)
    wait_until_current(registry, first)
    registry.issue_key("bert")
    wait_until_current(registry, first)
    registry.close()
    assert first.ask(token=key).status == 200
    again = gateway(rig, registry, tmp_path)
    assert again.ask(token=key).status == 200
    assert again.ingress.identity.version == first.ingress.identity.version
    registry.open()
    _, later = registry.issue_key("bert")
    wait_until_current(registry, first, again)
    assert again.ask(token=later).status == 200


def test_corrupted_saved_copy_is_logged_and_replaced_by_a_snapshot(rig, registry, tmp_path) -> None:
    _, key = registry.issue_key("anna")
    wait_until_current(registry, gateway(rig, registry, tmp_path))
    file = tmp_path / "identity-0.bin"
    data = file.read_bytes()
    file.write_bytes(data[:50] + b"\0" + data[51:])
    r = gateway(rig, registry, tmp_path)
    wait_until_current(registry, r)
    assert r.ask(token=key).status == 200
    assert any(event == "identity.copy_faulty" for event, _ in r.logged)


def test_without_registry_and_saved_copy_requests_get_503_and_no_401(rig, registry, tmp_path) -> None:
    _, key = registry.issue_key("anna")
    registry.close()
    answer = gateway(rig, registry, tmp_path).ask(token=key)
    assert (answer.status, answer.outcome) == (503, "refused")


def test_revocation_between_attempts_ends_the_request(rig, registry, tmp_path) -> None:
    r = gateway(rig, registry, tmp_path)
    label, key = registry.issue_key("anna")
    wait_until_current(registry, r)
    for server in r.servers:
        server.inject(Fault(kind="reset_after_run"))
    connect, revoked = r.ingress.pool.connect, []

    def connect_after_revocation(*args):
        if r.entries("ran") and not revoked:
            revoked.append(registry.commit(Revoke(label, registry.now())))
            wait_until_current(registry, r)
        return connect(*args)

    r.ingress.pool.connect = connect_after_revocation
    answer = r.ask(token=key)
    assert (answer.status, answer.outcome) == (502, "failed")
    assert len(r.entries("received")) == 1
    assert r.ask(token=key).status == 401


def test_requests_before_and_after_a_transfer_count_for_different_customers(rig, registry, tmp_path) -> None:
    r = gateway(rig, registry, tmp_path)
    label, key = registry.issue_key("anna")
    at = registry.now() + 3_600_000
    registry.commit(Move(label, "bert", at))
    wait_until_current(registry, r)
    assert r.ask(token=key).status == 200
    r.ingress.steady._base_ms = at - r.ingress.steady.now() + r.ingress.steady._base_ms
    assert r.ask(token=key).status == 200
    assert [e["customer"] for e in r.entries("received")] == ["1", "2"]


def test_gateways_at_different_versions_charge_the_plan_they_hold(rig, registry, tmp_path) -> None:
    """A gateway that has not received a plan change still uses the old version in requests and counter names."""
    rigs = [gateway(rig, registry, tmp_path, i) for i in range(3)]
    _, key = registry.issue_key("anna")
    wait_until_current(registry, *rigs)
    rigs[2].ingress.identity.subscription.stop()
    registry.commit(SetPlan("anna", "small", 1, registry.now() + 1.0))
    wait_until_current(registry, *rigs[:2])
    until = registry.now() + 50
    wait_for(lambda: registry.now() > until)
    for r in rigs:
        r.ask(token=key)
    assert [[e["plan"] for e in r.entries("received")] for r in rigs] == [
        ["small@1"],
        ["small@1"],
        ["large@1"],
    ]
    versions = [
        r.ingress.core.gateway.counter_name(0.0, r.ingress.core.gateway.customers[1])[0] >> 64 for r in rigs
    ]
    assert versions == [0, 0, 1]  # indexes into the list of plans


def test_token_that_names_another_plan_is_logged_once_and_the_registry_plan_applies(
    rig, registry, tmp_path
) -> None:
    r = gateway(rig, registry, tmp_path)
    registry.commit(Issue("till-1", "client", *keys.hash_client_id("till-1"), "anna"))
    for _ in range(3):
        assert r.ask(token="good").status == 200  # its claims say plan open
    assert {e["plan"] for e in r.entries("received")} == {"large@1"}
    assert sum(event == "identity.plan_contradicted" for event, _ in r.logged) == 1
    assert r.ask(token="small").status == 403  # a valid token of a client that is not registered
    assert r.ask("/switches", "POST", token="noscope").status == 403


def test_restored_registry_is_followed_only_after_adoption(rig, registry, tmp_path) -> None:
    import shutil

    label, key = registry.issue_key("anna")
    registry.store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    shutil.copy(registry.path, tmp_path / "backup.db")
    r = gateway(rig, registry, tmp_path)
    registry.commit(Revoke(label, registry.now()))
    wait_until_current(registry, r)
    registry.close()
    registry.store.close()
    for old in tmp_path.glob("r.db-*"):
        old.unlink()
    shutil.copy(tmp_path / "backup.db", registry.path)
    registry.store = Store(registry.path)
    registry.open()
    wait_for(lambda: any(event == "identity.registry_went_back" for event, _ in r.logged))
    assert r.ask(token=key).status == 401
    registry.commit(Adopt(2))
    wait_for(lambda: r.ingress.identity.follower.tables.epoch == 2)
    assert r.ask(token=key).status == 200


def test_uses_are_recorded_and_stored_for_the_audit(rig, registry, tmp_path) -> None:
    r = gateway(rig, registry, tmp_path)
    label, key = registry.issue_key("anna")
    r.ask(token=key)
    r.ask(token=key)
    assert [(list(k)[1], v[2]) for k, v in r.ingress.identity.uses.items()] == [("127.0.0.0/24", 2)]
    registry.server._record_uses(b'[[%d,"127.0.0.0/24",1.0,2.0,2]]' % keys.parse(key)[0])
    assert registry.store.uses() == [(label, "127.0.0.0/24", 1.0, 2.0, 2)]


@pytest.mark.parametrize("target", ["/v1/updates?after=x", "/v1/updates?chain=zz", "/nowhere"])
def test_registry_answers_malformed_requests_with_400_or_404(registry, target) -> None:
    from gevent import socket
    from rig import read_answer

    sock = socket.create_connection(("127.0.0.1", registry.port))
    sock.sendall(f"GET {target} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
    assert read_answer(sock).status in (400, 404)
    sock.close()


# ---- the effect of a plan change on a bucket


@pytest.mark.parametrize(
    ("old", "new", "used", "left"),
    [
        (20, 100, 15, 85),  # upgrade: the larger burst less what was used, not a second full bucket
        (100, 20, 40, 20),  # downgrade: use granted by the old plan is no debt
        (100, 20, 95, 5),  # downgrade: no more than was left
        (100, 100, 30, 70),
    ],
)
def test_plan_change_keeps_what_was_used(old, new, used, left) -> None:
    customer = Customer(Plan(1, old), 1, 0.0)
    customer.tokens -= used
    customer.change_plan(Plan(1, new, version=1))
    assert customer.tokens == left


def test_changing_plans_back_and_forth_grants_no_second_bucket() -> None:
    small, large = Plan(1, 20), Plan(1, 100, version=1)
    customer = Customer(small, 1, 0.0)
    spent = 0.0
    for plan in [large, small] * 10:
        customer.change_plan(plan)
        spent += max(0.0, customer.tokens)
        customer.tokens = min(0.0, customer.tokens)
    assert spent == 100


def test_change_from_no_quota_to_a_quota_starts_with_a_full_bucket() -> None:
    customer = Customer(Plan(0, 0), 1, 0.0)
    customer.tokens -= 5000
    customer.change_plan(Plan(1, 20, version=1))
    assert customer.tokens == 20
