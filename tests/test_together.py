"""Tests of keepers and instances that run as processes, with faults on the links between them.

Verdicts are derived from recorded histories, not from timing. The file must sort after the tests that start
processes without gevent, since gevent's child watcher would race with their waiting for child processes.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent import subprocess

from tamarindfold.agreement import wire
from tamarindfold.agreement.operator_client import NoAnswer
from tamarindfold.rehearsal.managed_fleet import DOCUMENT, ManagedFleet
from tamarindfold.rehearsal.relay import LinkFault

TERMS = {"window_ms": 1000, "unled_ms": 1000, "least_share": 0.01}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Any]:
    fleets: list[ManagedFleet] = []

    def make(start: bool = True, terms: dict[str, Any] = TERMS, **options: Any) -> ManagedFleet:
        fleets.append(ManagedFleet(tmp_path, terms=terms, **options))
        if start:
            fleets[-1].start()
        return fleets[-1]

    yield make
    for started in fleets:
        started.stop()


def fault(**fields: Any) -> LinkFault:
    return msgspec.convert(fields, LinkFault)


def held(fleet: ManagedFleet) -> dict[str, Any]:
    state = fleet.keepers.read_state()
    return {h.name: h for h in state.held.values()} if state else {}


def test_version_takes_effect_on_all_instances_without_contradictions(fleet: Any) -> None:
    f = fleet()
    f.keepers.inject("instance 2", "*", fault(kind="delay", way="back", delay_ms=300))
    f.keepers.inject("instance 1", "keeper 0", fault(kind="throttle", bytes_per_s=20_000))
    for _ in range(2):
        version = f.propose()
        f.keepers.wait_until(lambda v=version: f.all_act_on(v))
    result = f.find_stale_versions()
    assert result.examined > 50 and not result.breaches
    assert sorted(result.rollout_ms) == [1, 2, 3]


def test_instance_that_acts_beyond_its_lease_is_detected(fleet: Any) -> None:
    f = fleet(instances=2, faulty={"instance 1": "a lease never ends"})
    f.keepers.isolate("instance 1")
    version = f.propose()
    f.keepers.wait_until(lambda: f.acts_on(0, version))
    f.keepers.wait_until(lambda: f.find_stale_versions().breaches)
    assert {b["instance"] for b in f.find_stale_versions().breaches} == {1}


def test_instances_that_reach_no_majority_lose_their_lease_and_continue_to_serve(fleet: Any) -> None:
    f = fleet(instances=4)
    for near in ("instance 2", "instance 3"):
        for far in ("keeper 0", "keeper 1"):
            f.keepers.inject(near, far, fault(kind="cut"))
    version = f.propose(plans=[{"name": "corner", "rate": 9, "burst": 20}])
    f.keepers.wait_until(lambda: f.all_act_on(version, (0, 1)))
    for i in (2, 3):  # they answer, but reject requests that need a lease
        f.keepers.wait_until(lambda i=i: f.probe_status(i, version) == 503)
    assert not f.find_stale_versions().breaches
    f.keepers.heal()
    f.keepers.wait_until(lambda: f.all_act_on(version))


@pytest.mark.parametrize("way", ["there", "back"])
def test_one_way_partition_ends_a_lease(fleet: Any, way: str) -> None:
    f = fleet(instances=2)
    f.keepers.isolate("instance 1", way)
    version = f.propose()
    f.keepers.wait_until(lambda: f.acts_on(0, version))
    assert not f.acts_on(1, version) and not f.find_stale_versions().breaches
    f.keepers.heal()
    f.keepers.wait_until(lambda: f.all_act_on(version))


def test_leader_that_receives_no_messages_steps_down_and_acknowledged_versions_survive(fleet: Any) -> None:
    f = fleet(instances=1)
    leader = f.keepers.leader()
    # its messages reach the other keepers, but it receives none
    f.keepers.isolate(f"keeper {leader}", "back")
    version = f.propose()
    f.keepers.wait_until(lambda: f.acts_on(0, version))
    f.keepers.heal()
    again = f.propose()
    f.keepers.wait_until(lambda: f.acts_on(0, again))
    assert [n.status for n in f.keepers.read_state().history] == ["in force"] * 3


def test_minority_of_keepers_commits_nothing(fleet: Any) -> None:
    f = fleet(instances=1)
    f.keepers.kill(0)
    f.keepers.kill(1)
    before = f.keepers.read_state().number
    with pytest.raises(NoAnswer):
        f.keepers.propose(f.document, timeout_s=2.0)
    assert f.keepers.read_state().number == before
    f.keepers.restart((0, 1))
    f.keepers.wait_until(lambda: f.keepers.leader() >= 0)
    f.keepers.wait_until(lambda: f.acts_on(0, f.propose()))


def test_keepers_with_a_wiped_or_outdated_disk_catch_up_before_they_vote(fleet: Any) -> None:
    f = fleet(instances=1)
    old_disk = f.keepers.save_disk(1)
    version = f.propose()
    f.keepers.kill(1)
    f.keepers.restore_disk(1, old_disk)
    f.keepers.kill(0, wipe=True)
    f.keepers.kill(2)
    f.keepers.restart((0, 1))
    # neither may vote: only keeper 2, which is down, has the last version
    with pytest.raises(NoAnswer):
        f.keepers.propose(f.document, 1, timeout_s=2.0)
    f.keepers.restart((2,))
    f.keepers.wait_until(lambda: f.keepers.leader() >= 0)
    state = f.keepers.read_state()
    assert state.version == version and [n.version for n in state.history] == [1, 2]
    f.keepers.wait_until(lambda: f.acts_on(0, f.propose()))


def test_all_keepers_restarted_at_once_resume_from_disk(fleet: Any) -> None:
    f = fleet(instances=2)
    version = f.propose()
    for k in range(3):
        f.keepers.kill(k)
    f.keepers.restart(range(3))
    f.keepers.wait_until(lambda: f.keepers.leader() >= 0)
    assert f.keepers.read_state().version == version
    f.keepers.wait_until(lambda: f.all_act_on(f.propose()))
    assert not f.find_stale_versions().breaches


def test_keeper_with_a_full_disk_stops_voting_and_recovers(fleet: Any) -> None:
    f = fleet(instances=1)
    leader = f.keepers.leader()
    f.keepers.fill_disk(leader, True)
    version = f.propose()
    f.keepers.wait_until(lambda: f.acts_on(0, version))
    assert leader not in f.keepers.voting_keepers()
    f.keepers.fill_disk(leader, False)
    f.keepers.wait_until(lambda: leader in f.keepers.voting_keepers())
    f.keepers.kill((leader + 1) % 3)  # now the recovered keeper is needed for a majority
    f.keepers.wait_until(lambda: f.acts_on(0, f.propose()))


def test_instance_suspended_during_a_membership_change_catches_up_before_it_acts(fleet: Any) -> None:
    f = fleet(start=False, instances=4)
    f.start(range(3))
    f.suspend(2)
    f.start_instances((3,))  # the change is not settled until the suspended instance is known to be lost
    version = f.propose()
    f.keepers.wait_until(lambda: f.all_act_on(version, (0, 1, 3)))
    share = held(f)["i2"].share
    assert share == pytest.approx(1 / 3) or share == pytest.approx(TERMS["least_share"])
    state = f.keepers.read_state()
    assert sum(h.share for h in state.held.values()) + state.share * len(state.members) <= 1 + 1e-9
    f.resume(2)
    f.keepers.wait_until(lambda: f.all_act_on(version))
    assert not f.find_stale_versions().breaches
    f.keepers.wait_until(lambda: not held(f))
    places = [m.index for m in f.keepers.read_state().members.values()]
    assert sorted(places) == [0, 1, 2, 3]


def test_concurrent_proposals_conflict_and_a_retried_proposal_is_applied_once(fleet: Any) -> None:
    f = fleet(instances=1)
    jobs = [gevent.spawn(f.keepers.propose, f.document, 1, author=author) for author in ("ann", "bob")]
    replies = [job.get() for job in jobs]
    assert sorted(reply.version for reply in replies) == [0, 2]
    assert "came meanwhile" in next(reply.reason for reply in replies if not reply.version)
    # a proposal that is retried with the same token, as after a lost reply, is the same version
    first = f.keepers.propose(f.document, 2, token="once")
    again = f.keepers.propose(f.document, 2, token="once")
    assert first.version == again.version == 3
    f.keepers.wait_in_force(3)
    assert [n.version for n in f.keepers.read_state().history] == [1, 2, 3]


def test_five_queued_versions_take_effect_in_order(fleet: Any) -> None:
    f = fleet(instances=2)
    for rate in (5, 7, 3, 9, 4):
        f.propose(wait=False, plans=[{"name": "corner", "rate": rate, "burst": 20}])
    f.keepers.wait_in_force(6)
    f.keepers.wait_until(lambda: f.all_act_on(6))
    assert [n.status for n in f.keepers.read_state().history] == ["in force"] * 6
    assert not f.find_stale_versions().breaches


def test_version_that_an_instance_cannot_apply_is_dropped_unless_forced(fleet: Any) -> None:
    # the local answer margin of instance 1 exceeds the deadline in the next version
    f = fleet(instances=2, local={1: {"limits": {"answer_margin_ms": 900}}})
    classes = [DOCUMENT["classes"][0] | {"deadline_ms": 800}]
    reply = f.keepers.propose(f.document | {"classes": classes})
    f.keepers.wait_until(lambda: f.keepers.read_state().history[-1].status != "pending")
    note = f.keepers.read_state().history[-1]
    assert (
        note.status.startswith("dropped: i1: classes[0].deadline_ms") and f.keepers.read_state().version == 1
    )
    forced = f.keepers.command("force", reply.version)
    assert forced.version == 3
    f.keepers.wait_in_force(forced.version)
    f.newest_version = 3
    # the marker in the forced document is still that of version 2
    f.keepers.wait_until(lambda: f.acts_on(0, 2))
    assert not f.acts_on(1, 2)  # it has no lease, since it can't apply the version in force


def test_instance_without_keepers_starts_from_its_saved_state_or_fails_with_a_reason(
    fleet: Any,
) -> None:
    f = fleet(start=False, instances=3, local={i: {"agreement": {"join_ms": 1500}} for i in (1, 2)})
    f.start((0, 1))
    for k in range(3):
        f.keepers.kill(k)
    f.kill(1)
    f.start_instances((1,))
    acting = f.log_entries("instance 1", "agreement.acting")[-1]
    assert not acting["led"] and acting["gateways"] >= 1 / (TERMS["least_share"] * 0.1) - 1
    assert f.programs[2].start  # neither a saved state nor a keeper
    with pytest.raises(RuntimeError, match="no keeper answered, and there is no copy"):
        f.start_instances((2,))


def test_restarted_instance_regains_its_share_and_a_leaving_one_releases_it(fleet: Any) -> None:
    f = fleet(instances=3)
    f.kill(1)
    f.start_instances((1,))
    f.keepers.wait_until(lambda: not f.keepers.read_state().unsettled_number)
    state = f.keepers.read_state()
    assert len(state.members) == 3 and not state.held and state.share == pytest.approx(1 / 3)
    assert f.leave(0) == 0
    f.keepers.wait_until(lambda: f.keepers.read_state().share == pytest.approx(1 / 2))
    assert sorted(m.index for m in f.keepers.read_state().members.values()) == [0, 1]


def test_skewed_drifting_and_stepped_clocks_have_no_effect(fleet: Any) -> None:
    import signal

    f = fleet(
        instances=2,
        skews={"instance 0": (60_000.0, 0.01), "keeper 1": (-30_000.0, -0.01), "instance 1": (0.0, -0.005)},
    )
    version = f.propose()
    f.keepers.wait_until(lambda: f.all_act_on(version))
    f.programs[1].signal(signal.SIGUSR2)  # its wall clock steps by 10 s
    f.keepers.wait_until(lambda: f.all_act_on(f.propose()))
    assert not f.find_stale_versions().breaches and not f.log_entries("instance 1", "agreement.other_past")


def test_settings_commands(fleet: Any, tmp_path: Path) -> None:
    f = fleet(instances=2)
    base = [
        "settings",
        "--keepers",
        ",".join(f.keepers.addresses),
        "--key",
        str(tmp_path / "state" / "fleet.key"),
    ]

    def run(*arguments: str, status: int = 0) -> str:
        process = subprocess.run(
            [sys.executable, "-m", "tamarindfold.cli.main", *base, *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        assert process.returncode == status, process.stderr
        return process.stdout + process.stderr

    shown = run("show")
    assert "name: corner" in shown
    file = tmp_path / "next.yaml"
    file.write_text(shown.replace("rate: 6.0", "rate: 9.0"))
    output = run("propose", str(file), "--reason", "more for all", "--author", "ann", "--wait")
    assert output.splitlines()[0] == "version 2 proposed" and output.splitlines()[-1] == "version 2 in force"
    assert "plans[corner].rate: 6.0 -> 9.0" in run("diff", "1", "2")
    assert "ann: more for all  [in force]" in run("history")
    assert "i0" in (members := run("who")) and "i1" in members and "version 2 in force" in members
    assert "came meanwhile" in run("propose", str(file), "--reason", "late", "--base", "1", status=1)
    file.write_text(shown.replace("name: corner", "name: other"))
    assert "keep their places" in run("propose", str(file), "--reason", "renamed", status=1)
    assert "is not the next in line" in run("force", "9", status=1)
    assert "no instance nobody is away" in run("retire", "nobody", status=1)
    assert "version 7 is not kept" in run("show", "--version", "7", status=2)


def test_canary_rollout_and_retirement_of_a_lost_instance(fleet: Any) -> None:
    f = fleet(instances=3, terms=TERMS | {"unled_ms": 3_600_000})
    state = f.keepers.read_state()
    # its marker route replaces that of the version in force, so the two versions contradict each other
    rejected = f.keepers.propose(f.document, 1, canaries=("i1",))
    assert not rejected.version and "contradicts nothing" in rejected.reason
    compatible_document = msgspec.structs.replace(
        state.document, classes=[msgspec.structs.replace(state.document.classes[0], aim_ms=700.0)]
    )
    reply = f.keepers.send(wire.Proposal(compatible_document, 1, "ann", "a trial", "trial", ("i1",)))
    f.keepers.wait_until(lambda: f.keepers.read_state().phase == "first")
    assert f.keepers.read_state().version == 1 and reply.version == 2
    assert f.keepers.command("widen", 2).version == 2
    f.keepers.wait_in_force(2)
    f.kill(2)
    f.keepers.wait_until(lambda: held(f))
    assert held(f)["i2"].share == pytest.approx(1 / 3)
    assert f.keepers.command("retire", name="i2").version
    f.keepers.wait_until(lambda: f.keepers.read_state().share == pytest.approx(1 / 2))
