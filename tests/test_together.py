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
def make_fleet(tmp_path: Path) -> Iterator[Any]:
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


def held_shares(fleet: ManagedFleet) -> dict[str, Any]:
    state = fleet.keepers.read_state()
    return {h.name: h for h in state.held.values()} if state else {}


def test_version_takes_effect_on_all_instances_without_contradictions(make_fleet: Any) -> None:
    fleet = make_fleet()
    fleet.keepers.inject("instance 2", "*", fault(kind="delay", way="back", delay_ms=300))
    fleet.keepers.inject("instance 1", "keeper 0", fault(kind="throttle", bytes_per_s=20_000))
    for _ in range(2):
        version = fleet.propose()
        fleet.keepers.wait_until(lambda v=version: fleet.all_act_on(v))
    result = fleet.find_stale_versions()
    assert result.examined > 50 and not result.breaches
    assert sorted(result.rollout_ms) == [1, 2, 3]


def test_instance_that_acts_beyond_its_lease_is_detected(make_fleet: Any) -> None:
    fleet = make_fleet(instances=2, faulty={"instance 1": "a lease never ends"})
    fleet.keepers.isolate("instance 1")
    version = fleet.propose()
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, version))
    fleet.keepers.wait_until(lambda: fleet.find_stale_versions().breaches)
    assert {b["instance"] for b in fleet.find_stale_versions().breaches} == {1}


def test_instances_that_reach_no_majority_lose_their_lease_and_continue_to_serve(make_fleet: Any) -> None:
    fleet = make_fleet(instances=4)
    for instance in ("instance 2", "instance 3"):
        for keeper in ("keeper 0", "keeper 1"):
            fleet.keepers.inject(instance, keeper, fault(kind="cut"))
    version = fleet.propose(plans=[{"name": "corner", "rate": 9, "burst": 20}])
    fleet.keepers.wait_until(lambda: fleet.all_act_on(version, (0, 1)))
    for i in (2, 3):  # they answer, but reject requests that need a lease
        fleet.keepers.wait_until(lambda i=i: fleet.probe_status(i, version) == 503)
    assert not fleet.find_stale_versions().breaches
    fleet.keepers.heal()
    fleet.keepers.wait_until(lambda: fleet.all_act_on(version))


@pytest.mark.parametrize("way", ["there", "back"])
def test_one_way_partition_ends_a_lease(make_fleet: Any, way: str) -> None:
    fleet = make_fleet(instances=2)
    fleet.keepers.isolate("instance 1", way)
    version = fleet.propose()
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, version))
    assert not fleet.acts_on(1, version) and not fleet.find_stale_versions().breaches
    fleet.keepers.heal()
    fleet.keepers.wait_until(lambda: fleet.all_act_on(version))


def test_leader_that_receives_no_messages_steps_down_and_acknowledged_versions_survive(
    make_fleet: Any,
) -> None:
    fleet = make_fleet(instances=1)
    leader = fleet.keepers.leader()
    # its messages reach the other keepers, but it receives none
    fleet.keepers.isolate(f"keeper {leader}", "back")
    version = fleet.propose()
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, version))
    fleet.keepers.heal()
    second_version = fleet.propose()
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, second_version))
    assert [r.status for r in fleet.keepers.read_state().history] == ["in force"] * 3


def test_minority_of_keepers_commits_nothing(make_fleet: Any) -> None:
    fleet = make_fleet(instances=1)
    fleet.keepers.kill(0)
    fleet.keepers.kill(1)
    before = fleet.keepers.read_state().number
    with pytest.raises(NoAnswer):
        fleet.keepers.propose(fleet.document, timeout_s=2.0)
    assert fleet.keepers.read_state().number == before
    fleet.keepers.restart((0, 1))
    fleet.keepers.wait_until(lambda: fleet.keepers.leader() >= 0)
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, fleet.propose()))


def test_keepers_with_a_wiped_or_outdated_disk_catch_up_before_they_vote(make_fleet: Any) -> None:
    fleet = make_fleet(instances=1)
    old_disk = fleet.keepers.save_disk(1)
    version = fleet.propose()
    fleet.keepers.kill(1)
    fleet.keepers.restore_disk(1, old_disk)
    fleet.keepers.kill(0, wipe=True)
    fleet.keepers.kill(2)
    fleet.keepers.restart((0, 1))
    # neither may vote: only keeper 2, which is down, has the last version
    with pytest.raises(NoAnswer):
        fleet.keepers.propose(fleet.document, 1, timeout_s=2.0)
    fleet.keepers.restart((2,))
    fleet.keepers.wait_until(lambda: fleet.keepers.leader() >= 0)
    state = fleet.keepers.read_state()
    assert state.version == version and [r.version for r in state.history] == [1, 2]
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, fleet.propose()))


def test_all_keepers_restarted_at_once_resume_from_disk(make_fleet: Any) -> None:
    fleet = make_fleet(instances=2)
    version = fleet.propose()
    for k in range(3):
        fleet.keepers.kill(k)
    fleet.keepers.restart(range(3))
    fleet.keepers.wait_until(lambda: fleet.keepers.leader() >= 0)
    assert fleet.keepers.read_state().version == version
    fleet.keepers.wait_until(lambda: fleet.all_act_on(fleet.propose()))
    assert not fleet.find_stale_versions().breaches


def test_keeper_with_a_full_disk_stops_voting_and_recovers(make_fleet: Any) -> None:
    fleet = make_fleet(instances=1)
    leader = fleet.keepers.leader()
    fleet.keepers.fill_disk(leader, True)
    version = fleet.propose()
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, version))
    assert leader not in fleet.keepers.voting_keepers()
    fleet.keepers.fill_disk(leader, False)
    fleet.keepers.wait_until(lambda: leader in fleet.keepers.voting_keepers())
    fleet.keepers.kill((leader + 1) % 3)  # now the recovered keeper is needed for a majority
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, fleet.propose()))


def test_instance_suspended_during_a_membership_change_catches_up_before_it_acts(make_fleet: Any) -> None:
    fleet = make_fleet(start=False, instances=4)
    fleet.start(range(3))
    fleet.suspend(2)
    fleet.start_instances((3,))  # the change is not settled until the suspended instance is known to be lost
    version = fleet.propose()
    fleet.keepers.wait_until(lambda: fleet.all_act_on(version, (0, 1, 3)))
    share = held_shares(fleet)["i2"].share
    assert share == pytest.approx(1 / 3) or share == pytest.approx(TERMS["least_share"])
    state = fleet.keepers.read_state()
    assert sum(h.share for h in state.held.values()) + state.share * len(state.members) <= 1 + 1e-9
    fleet.resume(2)
    fleet.keepers.wait_until(lambda: fleet.all_act_on(version))
    assert not fleet.find_stale_versions().breaches
    fleet.keepers.wait_until(lambda: not held_shares(fleet))
    indices = [m.index for m in fleet.keepers.read_state().members.values()]
    assert sorted(indices) == [0, 1, 2, 3]


def test_concurrent_proposals_conflict_and_a_retried_proposal_is_applied_once(make_fleet: Any) -> None:
    fleet = make_fleet(instances=1)
    jobs = [
        gevent.spawn(fleet.keepers.propose, fleet.document, 1, author=author) for author in ("ann", "bob")
    ]
    replies = [job.get() for job in jobs]
    assert sorted(reply.version for reply in replies) == [0, 2]
    assert "came meanwhile" in next(reply.reason for reply in replies if not reply.version)
    # a proposal that is retried with the same token, as after a lost reply, is the same version
    first = fleet.keepers.propose(fleet.document, 2, token="once")
    retried = fleet.keepers.propose(fleet.document, 2, token="once")
    assert first.version == retried.version == 3
    fleet.keepers.wait_in_force(3)
    assert [r.version for r in fleet.keepers.read_state().history] == [1, 2, 3]


def test_five_queued_versions_take_effect_in_order(make_fleet: Any) -> None:
    fleet = make_fleet(instances=2)
    for rate in (5, 7, 3, 9, 4):
        fleet.propose(wait=False, plans=[{"name": "corner", "rate": rate, "burst": 20}])
    fleet.keepers.wait_in_force(6)
    fleet.keepers.wait_until(lambda: fleet.all_act_on(6))
    assert [r.status for r in fleet.keepers.read_state().history] == ["in force"] * 6
    assert not fleet.find_stale_versions().breaches


def test_version_that_an_instance_cannot_apply_is_dropped_unless_forced(make_fleet: Any) -> None:
    # the local answer margin of instance 1 exceeds the deadline in the next version
    fleet = make_fleet(instances=2, local={1: {"limits": {"answer_margin_ms": 900}}})
    classes = [DOCUMENT["classes"][0] | {"deadline_ms": 800}]
    reply = fleet.keepers.propose(fleet.document | {"classes": classes})
    fleet.keepers.wait_until(lambda: fleet.keepers.read_state().history[-1].status != "pending")
    record = fleet.keepers.read_state().history[-1]
    assert (
        record.status.startswith("dropped: i1: classes[0].deadline_ms")
        and fleet.keepers.read_state().version == 1
    )
    forced = fleet.keepers.command("force", reply.version)
    assert forced.version == 3
    fleet.keepers.wait_in_force(forced.version)
    fleet.newest_version = 3
    # the marker in the forced document is still that of version 2
    fleet.keepers.wait_until(lambda: fleet.acts_on(0, 2))
    assert not fleet.acts_on(1, 2)  # it has no lease, since it can't apply the version in force


def test_instance_without_keepers_starts_from_its_saved_state_or_fails_with_a_reason(
    make_fleet: Any,
) -> None:
    fleet = make_fleet(start=False, instances=3, local={i: {"agreement": {"join_ms": 1500}} for i in (1, 2)})
    fleet.start((0, 1))
    for k in range(3):
        fleet.keepers.kill(k)
    fleet.kill(1)
    fleet.start_instances((1,))
    acting = fleet.log_entries("instance 1", "agreement.acting")[-1]
    assert not acting["led"] and acting["gateways"] >= 1 / (TERMS["least_share"] * 0.1) - 1
    assert fleet.programs[2].start  # neither a saved state nor a keeper
    with pytest.raises(RuntimeError, match="no keeper answered, and there is no copy"):
        fleet.start_instances((2,))


def test_restarted_instance_regains_its_share_and_a_leaving_one_releases_it(make_fleet: Any) -> None:
    fleet = make_fleet(instances=3)
    fleet.kill(1)
    fleet.start_instances((1,))
    fleet.keepers.wait_until(lambda: not fleet.keepers.read_state().unsettled_number)
    state = fleet.keepers.read_state()
    assert len(state.members) == 3 and not state.held and state.share == pytest.approx(1 / 3)
    assert fleet.leave(0) == 0
    fleet.keepers.wait_until(lambda: fleet.keepers.read_state().share == pytest.approx(1 / 2))
    assert sorted(m.index for m in fleet.keepers.read_state().members.values()) == [0, 1]


def test_skewed_drifting_and_stepped_clocks_have_no_effect(make_fleet: Any) -> None:
    import signal

    fleet = make_fleet(
        instances=2,
        skews={"instance 0": (60_000.0, 0.01), "keeper 1": (-30_000.0, -0.01), "instance 1": (0.0, -0.005)},
    )
    version = fleet.propose()
    fleet.keepers.wait_until(lambda: fleet.all_act_on(version))
    fleet.programs[1].signal(signal.SIGUSR2)  # its wall clock steps by 10 s
    fleet.keepers.wait_until(lambda: fleet.all_act_on(fleet.propose()))
    assert not fleet.find_stale_versions().breaches and not fleet.log_entries(
        "instance 1", "agreement.other_past"
    )


def test_settings_commands(make_fleet: Any, tmp_path: Path) -> None:
    fleet = make_fleet(instances=2)
    base = [
        "settings",
        "--keepers",
        ",".join(fleet.keepers.addresses),
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


def test_canary_rollout_and_retirement_of_a_lost_instance(make_fleet: Any) -> None:
    fleet = make_fleet(instances=3, terms=TERMS | {"unled_ms": 3_600_000})
    state = fleet.keepers.read_state()
    # its marker route replaces that of the version in force, so the two versions contradict each other
    rejected = fleet.keepers.propose(fleet.document, 1, canaries=("i1",))
    assert not rejected.version and "contradicts nothing" in rejected.reason
    compatible_document = msgspec.structs.replace(
        state.document, classes=[msgspec.structs.replace(state.document.classes[0], aim_ms=700.0)]
    )
    reply = fleet.keepers.send(wire.Proposal(compatible_document, 1, "ann", "a trial", "trial", ("i1",)))
    fleet.keepers.wait_until(lambda: fleet.keepers.read_state().phase == "first")
    assert fleet.keepers.read_state().version == 1 and reply.version == 2
    assert fleet.keepers.command("widen", 2).version == 2
    fleet.keepers.wait_in_force(2)
    fleet.kill(2)
    fleet.keepers.wait_until(lambda: held_shares(fleet))
    assert held_shares(fleet)["i2"].share == pytest.approx(1 / 3)
    assert fleet.keepers.command("retire", name="i2").version
    fleet.keepers.wait_until(lambda: fleet.keepers.read_state().share == pytest.approx(1 / 2))
