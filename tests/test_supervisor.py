"""When programs are started, terminated and given up, and that real processes are all ended."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarindfold.supervisor.policy import Phase, Policy, ProgramSpec, RestartLimits, Start, Terminate

ROOT = Path(__file__).parent.parent


def fleet(**changes) -> Policy:
    return Policy(
        [
            ProgramSpec("gateway", ("tokens", "counter"), **changes),
            ProgramSpec("tokens"),
            ProgramSpec("counter", ("tokens",)),
        ]
    )


def test_programs_start_after_their_dependencies_are_ready_and_stop_in_reverse() -> None:
    p = fleet()
    assert p.order == ["tokens", "counter", "gateway"]
    assert p.tick(0) == [Start("tokens")] and p.tick(1) == []
    assert p.on_ready("tokens", 2) == [Start("counter")] and p.on_ready("counter", 3) == [Start("gateway")]
    p.on_ready("gateway", 4)
    assert p.stop(5) == [Terminate("gateway")] and p.on_exit("gateway", 6) == [Terminate("counter")]
    assert p.on_exit("counter", 7) == [Terminate("tokens")] and not p.done
    assert p.tick(7 + 20_000) == [Terminate("tokens", True)]
    assert p.on_exit("tokens", 30_000) == [] and p.done and not p.given_up


def test_restart_delays_double_until_the_program_is_given_up() -> None:
    p = Policy([ProgramSpec("a", restarts=RestartLimits(3, 60_000, 100, 300))])
    now, delays = 0.0, []
    p.tick(now)
    for _ in range(3):
        p.on_exit("a", now)
        delays.append(p.states["a"].delay_ms)
        assert p.tick(now + delays[-1] - 1) == []
        now += delays[-1]
        assert p.tick(now) == [Start("a")]
    assert delays == [100, 200, 300]
    p.on_exit("a", now)
    assert p.given_up == ["a"] and p.done and p.tick(now + 1e6) == []


def test_exits_before_the_window_do_not_count() -> None:
    p = Policy([ProgramSpec("a", restarts=RestartLimits(1, 1_000, 100, 300))])
    p.tick(0)
    for now in (0, 2_000, 4_000):
        p.on_exit("a", now)
        assert p.tick(now + 100) == [Start("a")]


def test_a_program_that_is_not_ready_in_time_is_killed_and_restarted() -> None:
    p = Policy([ProgramSpec("a", ready_ms=50)])
    p.tick(0)
    assert p.tick(49) == [] and p.tick(50) == [Terminate("a", True)] and p.tick(60) == []
    p.on_exit("a", 61)
    assert p.tick(261) == [Start("a")]


@pytest.mark.parametrize(
    ("specs", "message"),
    [
        ([ProgramSpec("a"), ProgramSpec("a")], "same name"),
        ([ProgramSpec("a", ("b",))], "not a program"),
        ([ProgramSpec("a", ("b",)), ProgramSpec("b", ("a",))], "circular dependency"),
    ],
)
def test_inconsistent_programs_are_rejected(specs, message) -> None:
    with pytest.raises(ValueError, match=message):
        Policy(specs)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["on_ready", "on_exit", "tick", "stop"]),
            st.sampled_from(["a", "b", "c"]),
            st.integers(0, 3000),
        ),
        max_size=60,
    )
)
def test_after_any_events_each_program_runs_at_most_once_and_all_can_be_stopped(steps) -> None:
    p = Policy([ProgramSpec("a"), ProgramSpec("b", ("a",)), ProgramSpec("c", ("a", "b"))])
    running: set[str] = set()
    now = 0.0

    def apply(actions) -> None:
        for action in actions:
            if isinstance(action, Start):
                assert action.name not in running and not p.stopping
                running.add(action.name)
            else:
                assert action.name in running

    apply(p.tick(now))
    for method, name, elapsed_ms in steps:
        now += elapsed_ms
        if method in ("on_ready", "on_exit") and name not in running:
            continue
        if method == "on_exit":
            running.discard(name)
        apply(getattr(p, method)(now) if method in ("tick", "stop") else getattr(p, method)(name, now))
    apply(p.stop(now))
    for _ in range(4):
        now += 20_000
        apply(p.tick(now))
        for name in list(running):
            if p.states[name].phase is Phase.STOPPING:
                running.discard(name)
                apply(p.on_exit(name, now))
    assert p.done and not running


# ---- processes


def run_fleet(tmp_path: Path, text: str, *arguments: str, wait: bool = True):
    file = tmp_path / "fleet.yaml"
    file.write_text(text)
    child = subprocess.Popen(
        [sys.executable, "-m", "tamarindfold.cli.main", "fleet", *arguments, str(file)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    return (child, *child.communicate(timeout=60)) if wait else (child, "", "")


def fleet_file(tmp_path: Path) -> str:
    return (
        f"logs: {tmp_path}/logs\nprograms:\n  - {{name: counter, run: [standin, counter]}}\n"
        "  - {name: tokens, run: [standin, tokens], after: [counter], restarts: {most: 1, first_ms: 50}}\n"
    )


def processes_with_environment(variable: str) -> list[int]:
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal():
            try:
                if variable in (entry / "environ").read_bytes().decode(errors="replace"):
                    found.append(int(entry.name))
            except OSError:
                continue
    return found


def test_a_fleet_starts_and_stops_completely(tmp_path) -> None:
    child, out, err = run_fleet(tmp_path, fleet_file(tmp_path), "up", "--seconds", "1.5")
    assert child.returncode == 0, err
    lines = out.splitlines()
    assert lines[0].startswith("counter: ready") and lines[-2:] == ["tokens: ended 0", "counter: ended 0"]


def test_prepare_commands_run_first_and_no_program_starts_if_one_fails(tmp_path) -> None:
    prepare = f"prepare: [[settings, keys, --if-missing, {tmp_path}/fleet]]\n"
    for _ in range(2):  # existing keys are kept
        child, out, err = run_fleet(tmp_path, prepare + fleet_file(tmp_path), "up", "--seconds", "2")
        assert child.returncode == 0, err
        assert out.splitlines()[0].endswith("done") and (tmp_path / "fleet.key").exists()
    child, out, _ = run_fleet(
        tmp_path, "prepare: [[check, no-such-file.yaml]]\n" + fleet_file(tmp_path), "up"
    )
    assert child.returncode == 1 and out.splitlines() == ["prepare check no-such-file.yaml: ended with 2"]


def test_a_program_that_exits_is_restarted_and_then_given_up(tmp_path) -> None:
    text = f"logs: {tmp_path}/logs\nprograms:\n  - {{name: bad, run: [check, no-such-file.yaml], restarts: {{most: 1, first_ms: 1}}}}\n"
    child, out, _ = run_fleet(tmp_path, text, "up", "--seconds", "30")
    assert child.returncode == 1 and out.splitlines() == ["bad: ended 2", "bad: ended 2", "bad: given up"]


def test_programs_exit_by_themselves_when_the_supervisor_is_killed(tmp_path, monkeypatch) -> None:
    marker = f"TAMARINDFOLD_TEST_MARK={tmp_path}"
    monkeypatch.setenv("TAMARINDFOLD_TEST_MARK", str(tmp_path))
    child, *_ = run_fleet(tmp_path, fleet_file(tmp_path), "up", "--seconds", "60", wait=False)
    for _ in range(2):
        assert "ready" in child.stdout.readline()
    assert len(processes_with_environment(marker)) == 3
    os.kill(child.pid, signal.SIGKILL)
    child.communicate()
    deadline = time.monotonic() + 30
    while processes_with_environment(marker) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert not processes_with_environment(marker)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("programs: []", "programs"),
        ("programs: [{name: a, run: [x], after: [b]}]", "not a program"),
        ("programs: [{name: a}]", "run"),
        ("programs: [{name: a, run: [x]}, {name: a, run: [x]}]", "same name"),
    ],
)
def test_an_invalid_fleet_file_is_one_line_and_exit_2(tmp_path, text, message) -> None:
    child, _, err = run_fleet(tmp_path, text, "check")
    assert child.returncode == 2 and message in err and len(err.strip().splitlines()) == 1
