"""Runs a fleet's programs as child processes; a pipe that each holds tells it when this one dies."""

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

from tamarindfold.config.model import Count, MsAboveNought, Section, Word
from tamarindfold.supervisor.policy import Action, Policy, Restarts, Spec, Start

LIFELINE = "TAMARINDFOLD_LIFELINE"
LOOK_S = 0.5


class RestartsConfig(Section, frozen=True):
    """See policy.Restarts."""

    most: Annotated[int, Meta(ge=0)] = 5
    within_ms: MsAboveNought = 60_000
    first_ms: MsAboveNought = 200
    most_ms: MsAboveNought = 5_000


class ProgramConfig(Section, frozen=True, kw_only=True):
    """One program: the words of a tamarindfold command that says a line when it serves."""

    name: Word
    run: Annotated[list[str], Meta(min_length=1)]
    after: tuple[str, ...] = ()
    ready_ms: MsAboveNought = 30_000
    stop_ms: MsAboveNought = 20_000
    restarts: RestartsConfig = RestartsConfig()


class FleetFile(Section, frozen=True, kw_only=True):
    """The whole file. Relative paths in `run` are from the folder it is started in."""

    programs: Annotated[list[ProgramConfig], Meta(min_length=1)]
    prepare: list[list[str]] = field(default_factory=list)  # words of commands that are run once, before all
    logs: str = "out/fleet"
    up_ms: MsAboveNought = 3_600_000  # everything ends after this, whatever happens
    most_programs: Count = 200


def policy(file: FleetFile) -> Policy:
    """The decisions for a file; ValueError where its programs contradict each other."""
    if len(file.programs) > file.most_programs:
        raise ValueError(f"programs: over {file.most_programs}")
    try:
        return Policy(
            [
                Spec(
                    p.name,
                    tuple(p.after),
                    p.ready_ms,
                    p.stop_ms,
                    Restarts(p.restarts.most, p.restarts.within_ms, p.restarts.first_ms, p.restarts.most_ms),
                )
                for p in file.programs
            ]
        )
    except ValueError as error:
        raise ValueError(f"programs: {error}") from None


def sound(file: FleetFile) -> None:
    """ValueError where a file's programs contradict each other."""
    policy(file)


class Supervisor:
    """Carries out a policy until it is told to stop, the time is up, or nothing is left."""

    def __init__(self, file: FleetFile, say: Callable[[str], None]) -> None:
        self.file, self.say, self.policy = file, say, policy(file)
        self.words = {program.name: program.run for program in file.programs}
        self.children: dict[str, subprocess.Popen] = {}
        self.happened: Queue = Queue()
        self.halt = Event()
        self.logs = Path(file.logs)
        self.held, self.given = os.pipe()  # nobody writes; its end is the news

    @staticmethod
    def now() -> float:
        """Milliseconds."""
        return time.monotonic() * 1000

    def run(self) -> bool:
        """Until the end; True where every program ended in good order and none was given up."""
        self.logs.mkdir(parents=True, exist_ok=True)
        until = self.now() + self.file.up_ms
        good = True
        try:
            if not all(map(self._prepare, self.file.prepare)):
                return False
            self._carry_out(self.policy.tick(self.now()))
            while not self.policy.done:
                if (self.halt.is_set() or self.now() >= until) and not self.policy.stopping:
                    self.say("stopping")
                    self._carry_out(self.policy.stop(self.now()))
                    continue
                wait = min(LOOK_S, max(0.001, (self.policy.next_at() - self.now()) / 1000))
                try:
                    what, name, said = self.happened.get(timeout=wait)
                except Empty:
                    self._carry_out(self.policy.tick(self.now()))
                    continue
                self.say(f"{name}: {what} {said}".rstrip())
                if what == "ended":
                    good = good and (not self.policy.stopping or said == "0")
                step = self.policy.ready if what == "ready" else self.policy.ended
                self._carry_out(step(name, self.now()))
        finally:
            for child in self.children.values():
                if child.poll() is None:
                    child.kill()
                    child.wait()
            os.close(self.given)
            os.close(self.held)
        for name in self.policy.given_up:
            self.say(f"{name}: given up")
        return good and not self.policy.given_up

    def _prepare(self, words: list[str]) -> bool:
        """Run a command to its end; whether it ended well."""
        with open(self.logs / "prepare.log", "ab") as log:
            status = subprocess.call(
                [sys.executable, "-m", "tamarindfold.cli.main", *words], stdout=log, stderr=log
            )
        self.say(f"prepare {' '.join(words)}: {'done' if status == 0 else f'ended with {status}'}")
        return bool(status == 0)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._start(action.name)
            elif (child := self.children.get(action.name)) is not None and child.poll() is None:
                os.kill(child.pid, signal.SIGCONT)  # a stopped process hears nothing else
                os.kill(child.pid, signal.SIGKILL if action.kill else signal.SIGTERM)

    def _start(self, name: str) -> None:
        with open(self.logs / f"{name}.log", "ab") as log:
            self.children[name] = child = subprocess.Popen(
                [sys.executable, "-m", "tamarindfold.cli.main", *self.words[name]],
                stdout=subprocess.PIPE,
                stderr=log,
                start_new_session=True,
                pass_fds=(self.held,),
                env=os.environ | {LIFELINE: str(self.held)},
            )
        gevent.spawn(self._watch, name, child)

    def _watch(self, name: str, child: subprocess.Popen) -> None:
        line = child.stdout.readline().decode(errors="replace").strip()
        if line:
            self.happened.put(("ready", name, line))
            while child.stdout.readline():
                pass  # a full pipe would hold it
        self.happened.put(("ended", name, str(child.wait())))
