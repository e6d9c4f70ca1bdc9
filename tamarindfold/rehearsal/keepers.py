"""The keepers of a run and the links to them: processes, link and disk faults, and operator requests."""

from __future__ import annotations

import copy
import os
import resource
import shutil
import signal
import uuid
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import socket

from tamarindfold.agreement import wire
from tamarindfold.agreement.document import Document, check
from tamarindfold.agreement.operator_client import NoAnswer, OperatorClient
from tamarindfold.agreement.state import State, decode
from tamarindfold.config.addresses import split_address
from tamarindfold.identity.files import create_key_pair, private_path, public_path, signing_key
from tamarindfold.rehearsal.processes import Program
from tamarindfold.rehearsal.relay import LinkFault, Relay
from tamarindfold.rehearsal.scenario import matches_process
from tamarindfold.standins.ledger import Ledger

SUSPEND_POLL_S = 0.001
FULL_DISK_FILE_BYTES = 64  # limit on file sizes that simulates a full disk: every file of a keeper is larger


def free_port() -> int:
    """A port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def with_marker_route(document: dict[str, Any], version: int) -> dict[str, Any]:
    """The document with a marker route, which shows from outside that an instance with a lease acts on it."""
    marked = copy.deepcopy(document)
    marked["routes"] = [
        *marked["routes"],
        {
            "method": "GET",
            "path": f"/mark/{version}",
            "class": marked["classes"][0]["name"],
            "led_only": True,
        },
    ]
    return marked


class KeeperGroup:
    """The keepers of one run. All faults and proposals are recorded in the ledger, with their times."""

    def __init__(
        self,
        out: Path,
        keepers: int,
        instances: int,
        seed: int,
        clock: Callable[[], float],
        ledger: Ledger,
        skews: dict[str, tuple[float, float]] | None = None,
        faulty: dict[str, str] | None = None,
    ) -> None:
        """Create keys, configurations and links; `start` starts the processes.

        skews: by process, the offset of its wall clock in ms and the drift ratio of its clocks. faulty: by
        process, a planted fault (modelcheck.planted).
        """
        self.out, self.clock, self.ledger, self.seed = out, clock, ledger, seed
        self.count, self.instances = keepers, instances
        self.skews, self.faulty = skews or {}, faulty or {}
        for folder in ("config", "logs", "state"):
            (out / folder).mkdir(parents=True, exist_ok=True)
        create_key_pair(out / "state" / "fleet")
        self.addresses = [f"127.0.0.1:{free_port()}" for _ in range(keepers)]
        self.relays: dict[tuple[str, str], Relay] = {}
        for k, address in enumerate(self.addresses):
            connecting = [f"keeper {other}" for other in range(keepers) if other != k]
            connecting += [f"instance {i}" for i in range(instances)]
            for process in connecting:
                name = f"{process} > keeper {k}"
                self.relays[process, f"keeper {k}"] = Relay(
                    name,
                    split_address(address, "keeper"),
                    clock,
                    seed + len(self.relays),
                    ledger.record,
                    f"127.3.{k}.{len(self.relays) % 250 + 1}",
                )
        self.programs = [self._keeper_program(k) for k in range(keepers)]
        self.key = signing_key(private_path(out / "state" / "fleet"))
        self.operator = OperatorClient([split_address(a, "keeper") for a in self.addresses], self.key)

    # ---- processes

    def create_program(self, process: str, arguments: list[str]) -> Program:
        """A program of this run, with the skewed clock or the planted fault of its process, if any."""
        log = self.out / "logs" / f"{process.replace(' ', '-')}.log"
        return self.create_program_with_log(process, arguments, log)

    def create_program_with_log(self, process: str, arguments: list[str], log: Path) -> Program:
        """As create_program, with another log file."""
        program = Program(process, arguments, log)
        if process in self.skews:
            program.module = ("tamarindfold.rehearsal.skewed", *map(str, self.skews[process]))
        if process in self.faulty:
            program.module = ("tamarindfold.rehearsal.faulty", self.faulty[process])
        return program

    def state_folder(self, keeper: int) -> Path:
        """The folder with a keeper's durable state."""
        return self.out / "state" / f"keeper-{keeper}"

    def _keeper_program(self, k: int) -> Program:
        process = f"keeper {k}"
        peers = [
            self.addresses[k] if other == k else self.relays[process, f"keeper {other}"].address
            for other in range(self.count)
        ]
        file = self.out / "config" / f"keeper-{k}.yaml"
        file.write_bytes(
            msgspec.yaml.encode(
                {
                    "me": k,
                    "keepers": peers,
                    "state_dir": str(self.state_folder(k)),
                    "seed": self.seed + k,
                    "key": str(private_path(self.out / "state" / "fleet")),
                }
            )
        )
        return self.create_program(process, ["keeper", str(file)])

    def agreement_section(self, i: int, name: str) -> dict[str, Any]:
        """The section `agreement` of an instance's configuration file."""
        return {
            "keepers": [self.relays[f"instance {i}", f"keeper {k}"].address for k in range(self.count)],
            "public_key": str(public_path(self.out / "state" / "fleet")),
            "name": name,
        }

    def start(self) -> None:
        """Start all keepers and wait until one leads."""
        gevent.joinall([gevent.spawn(p.start) for p in self.programs], raise_error=True)
        self.wait_until(lambda: self.leader() >= 0)

    def stop(self) -> None:
        """Kill all keepers and close all links."""
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.kill()
        for relay in self.relays.values():
            relay.stop()

    def wait_until(self, condition: Callable[[], Any], timeout_s: float = 30.0) -> None:
        """Wait until a condition holds; AssertionError on time-out. No verdict depends on the duration."""
        with gevent.Timeout(timeout_s, AssertionError(f"condition not met within {timeout_s:g} s")):
            while not condition():
                gevent.sleep(0.01)

    # ---- operator requests

    def _call(self, call: Callable[..., Any], *args: Any) -> Any:
        """Run a blocking operator request in a thread, so that the relays go on meanwhile."""
        return gevent.get_hub().threadpool.apply(call, args)

    def read_state(self) -> State | None:
        """The most recent state that a keeper reports; None if no keeper answers."""
        try:
            return decode(self._call(self.operator.status).state)
        except NoAnswer:
            return None

    def voting_keepers(self) -> set[int]:
        """The keepers that answer and have recovered, so that they may vote."""
        try:
            return {status.keeper for status in self._call(self.operator.statuses) if status.recovered}
        except NoAnswer:
            return set()

    def leader(self) -> int:
        """The keeper that reports itself as the leader; -1 if there is none."""
        try:
            statuses = self._call(self.operator.statuses)
        except NoAnswer:
            return -1
        return next(
            (status.keeper for status in statuses if status.leader == status.keeper and status.recovered), -1
        )

    def propose(
        self,
        document: dict[str, Any],
        base: int | None = None,
        token: str = "",
        author: str = "rehearsal",
        timeout_s: float = 20.0,
        canaries: tuple[str, ...] = (),
    ) -> wire.OperatorReply:
        """Propose a version with its marker route; NoAnswer if the outcome is unknown."""
        if base is None:
            state = self.read_state()
            base = state.newest if state is not None else 0
        marked = msgspec.convert(with_marker_route(document, base + 1), Document)
        check(marked)
        proposal = wire.Proposal(
            marked, base, author, "a scenario's event", token or uuid.uuid4().hex, canaries
        )
        started_at = self.clock()
        self.ledger.record(started_at, "propose", base=base, token=proposal.token)
        reply = self.send(proposal, timeout_s)
        self.ledger.record(
            self.clock(),
            "proposed",
            version=reply.version,
            reason=reply.reason,
            token=proposal.token,
            began=started_at,
        )
        return reply

    def send(
        self, request: wire.Proposal | wire.OperatorCommand, timeout_s: float = 20.0
    ) -> wire.OperatorReply:
        """Send a proposal or a command unchanged."""
        reply: wire.OperatorReply = self._call(self.operator.send, request, timeout_s)
        return reply

    def command(self, action: str, version: int = 0, name: str = "") -> wire.OperatorReply:
        """Send an operator's command."""
        return self.send(wire.OperatorCommand(action, version, name, "rehearsal"))

    def wait_in_force(self, version: int, timeout_s: float = 30.0) -> None:
        """Wait until a version or a newer one is in force."""
        self.wait_until(
            lambda: (state := self.read_state()) is not None and state.version >= version, timeout_s
        )

    # ---- faults

    def links(self, near: str, far: str) -> list[Relay]:
        """The links from near to far; `*` in place of a number matches all."""
        return [
            relay
            for (a, b), relay in self.relays.items()
            if matches_process(near, a) and matches_process(far, b)
        ]

    def inject(self, near: str, far: str, fault: LinkFault) -> None:
        """Inject a fault into the links from near to far."""
        for relay in self.links(near, far):
            relay.inject(fault)

    def isolate(self, process: str, way: str = "both", for_ms: float = 0.0) -> None:
        """Cut the links between a process and the keepers: from it (there), to it (back), or both."""
        fault = msgspec.convert({"kind": "cut", "way": way, "for_ms": for_ms}, LinkFault)
        self.inject(process, "*", fault)
        if process.startswith("keeper"):
            opposite = {"there": "back", "back": "there"}.get(way, "both")
            self.inject("*", process, msgspec.structs.replace(fault, way=opposite))

    def heal(self, near: str = "*", far: str = "*") -> None:
        """End the faults of these links."""
        for relay in self.links(near, far):
            relay.heal()

    def kill(self, keeper: int, wipe: bool = False) -> None:
        """Kill a keeper; wipe: also delete its durable state."""
        self.programs[keeper].kill()
        if wipe:
            shutil.rmtree(self.state_folder(keeper), ignore_errors=True)
        self.ledger.record(self.clock(), "keeper_down", index=keeper, wiped=wipe)

    def save_disk(self, keeper: int) -> Path:
        """Copy a keeper's current durable state, for restore_disk."""
        target = self.out / "state" / f"old-{keeper}-{uuid.uuid4().hex}"
        shutil.copytree(self.state_folder(keeper), target)
        return target

    def restore_disk(self, keeper: int, saved: Path) -> None:
        """Replace the durable state of a keeper, which must not run, by an older copy."""
        shutil.rmtree(self.state_folder(keeper), ignore_errors=True)
        shutil.copytree(saved, self.state_folder(keeper))

    def restart(self, keepers: Iterable[int]) -> None:
        """Start killed keepers again."""
        gevent.joinall([gevent.spawn(self.programs[k].start) for k in keepers], raise_error=True)
        for k in keepers:
            self.ledger.record(self.clock(), "keeper_up", index=k)

    def fill_disk(self, keeper: int, full: bool) -> None:
        """Make a keeper's writes fail as on a full disk (by a limit on file sizes), or lift the limit."""
        child = self.programs[keeper].child
        assert child is not None
        max_bytes = FULL_DISK_FILE_BYTES if full else resource.RLIM_INFINITY
        resource.prlimit(child.pid, resource.RLIMIT_FSIZE, (max_bytes, resource.RLIM_INFINITY))
        self.ledger.record(self.clock(), "disk", index=keeper, full=full)


def suspend(program: Program) -> None:
    """Stop a process (SIGSTOP) and wait until the kernel reports it as stopped."""
    assert program.child is not None
    os.kill(program.child.pid, signal.SIGSTOP)
    while True:
        stat = Path(f"/proc/{program.child.pid}/stat").read_text()
        if stat.rpartition(")")[2].split()[0] == "T":
            return
        gevent.sleep(SUSPEND_POLL_S)
