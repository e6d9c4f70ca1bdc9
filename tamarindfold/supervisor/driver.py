"""Runs a fleet's programs as child processes, which detect by an inherited pipe when the supervisor dies."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import gevent
from gevent import subprocess
from gevent.event import Event
from gevent.queue import Empty, Queue
from msgspec import Meta, field

from tamarindfold.config.model import Identifier, PositiveInt, PositiveFloat, Section
from tamarindfold.supervisor.policy import Action, Policy, ProgramSpec, RestartLimits, Start

SUPERVISOR_PIPE_ENV = "TAMARINDFOLD_LIFELINE"
MAX_WAIT_S = 0.5


class RestartsConfig(Section, frozen=True):
    """See policy.RestartLimits."""

    most: Annotated[int, Meta(ge=0)] = 5
    within_ms: PositiveFloat = 60_000
    first_ms: PositiveFloat = 200
    most_ms: PositiveFloat = 5_000


class ProgramConfig(Section, frozen=True, kw_only=True):
    """One program: the arguments of a tamarindfold command that prints a line once it is ready."""

    name: Identifier
    run: Annotated[list[str], Meta(min_length=1)]
    after: tuple[str, ...] = ()
    ready_ms: PositiveFloat = 30_000
    stop_ms: PositiveFloat = 20_000
    restarts: RestartsConfig = RestartsConfig()


class FleetFile(Section, frozen=True, kw_only=True):
    """The fleet file. Relative paths in `run` are relative to the working directory of the supervisor."""

    programs: Annotated[list[ProgramConfig], Meta(min_length=1)]
    # arguments of commands that run once, before all programs
    prepare: list[list[str]] = field(default_factory=list)
    logs: str = "out/fleet"
    up_ms: PositiveFloat = 3_600_000  # all programs are stopped after this time at the latest
    most_programs: PositiveInt = 200


def build_policy(file: FleetFile) -> Policy:
    """The policy for a fleet file; ValueError if its programs contradict each other."""
    if len(file.programs) > file.most_programs:
        raise ValueError(f"programs: more than {file.most_programs}")
    try:
        return Policy(
            [
                ProgramSpec(
                    p.name,
                    tuple(p.after),
                    p.ready_ms,
                    p.stop_ms,
                    RestartLimits(
                        p.restarts.most, p.restarts.within_ms, p.restarts.first_ms, p.restarts.most_ms
                    ),
                )
                for p in file.programs
            ]
        )
    except ValueError as error:
        raise ValueError(f"programs: {error}") from None


def validate_fleet_file(file: FleetFile) -> None:
    """ValueError if a file's programs contradict each other."""
    build_policy(file)


class Supervisor:
    """Carries out a policy until it is asked to stop, the time limit is reached, or no program is left."""

    def __init__(self, file: FleetFile, output: Callable[[str], None]) -> None:
        self.file, self.output, self.policy = file, output, build_policy(file)
        self.arguments = {program.name: program.run for program in file.programs}
        self.children: dict[str, subprocess.Popen] = {}
        self.events: Queue = Queue()
        self.stop_requested = Event()
        self.logs = Path(file.logs)
        # Nothing is written: children read end-of-file when the supervisor dies.
        self.child_pipe_end, self.own_pipe_end = os.pipe()

    @staticmethod
    def now() -> float:
        """Monotonic time in milliseconds."""
        return time.monotonic() * 1000

    def run(self) -> bool:
        """Run to the end; True if every program exited cleanly and none was given up."""
        self.logs.mkdir(parents=True, exist_ok=True)
        stop_at = self.now() + self.file.up_ms
        clean = True
        try:
            if not all(map(self._run_to_completion, self.file.prepare)):
                return False
            self._apply(self.policy.tick(self.now()))
            while not self.policy.done:
                if (self.stop_requested.is_set() or self.now() >= stop_at) and not self.policy.stopping:
                    self.output("stopping")
                    self._apply(self.policy.stop(self.now()))
                    continue
                wait_s = min(MAX_WAIT_S, max(0.001, (self.policy.next_at() - self.now()) / 1000))
                try:
                    event, name, detail = self.events.get(timeout=wait_s)
                except Empty:
                    self._apply(self.policy.tick(self.now()))
                    continue
                self.output(f"{name}: {event} {detail}".rstrip())
                if event == "ended":
                    clean = clean and (not self.policy.stopping or detail == "0")
                handler = self.policy.on_ready if event == "ready" else self.policy.on_exit
                self._apply(handler(name, self.now()))
        finally:
            for child in self.children.values():
                if child.poll() is None:
                    child.kill()
                    child.wait()
            os.close(self.own_pipe_end)
            os.close(self.child_pipe_end)
        for name in self.policy.given_up:
            self.output(f"{name}: given up")
        return clean and not self.policy.given_up

    def _run_to_completion(self, arguments: list[str]) -> bool:
        """Run one of the `prepare` commands; whether it succeeded."""
        with open(self.logs / "prepare.log", "ab") as log:
            status = subprocess.call(
                [sys.executable, "-m", "tamarindfold.cli.main", *arguments], stdout=log, stderr=log
            )
        self.output(f"prepare {' '.join(arguments)}: {'done' if status == 0 else f'ended with {status}'}")
        return bool(status == 0)

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._start(action.name)
            elif (child := self.children.get(action.name)) is not None and child.poll() is None:
                os.kill(child.pid, signal.SIGCONT)  # a process stopped by SIGSTOP does not handle SIGTERM
                os.kill(child.pid, signal.SIGKILL if action.kill else signal.SIGTERM)

    def _start(self, name: str) -> None:
        with open(self.logs / f"{name}.log", "ab") as log:
            self.children[name] = child = subprocess.Popen(
                [sys.executable, "-m", "tamarindfold.cli.main", *self.arguments[name]],
                stdout=subprocess.PIPE,
                stderr=log,
                start_new_session=True,
                pass_fds=(self.child_pipe_end,),
                env=os.environ | {SUPERVISOR_PIPE_ENV: str(self.child_pipe_end)},
            )
        gevent.spawn(self._watch, name, child)

    def _watch(self, name: str, child: subprocess.Popen) -> None:
        line = child.stdout.readline().decode(errors="replace").strip()
        if line:
            self.events.put(("ready", name, line))
            while child.stdout.readline():
                pass  # a full pipe would block the program
        self.events.put(("ended", name, str(child.wait())))
