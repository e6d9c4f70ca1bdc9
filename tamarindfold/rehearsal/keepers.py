"""Keepers and the links to them, for days and tests: started, spoilt, killed, wiped, asked by an operator."""

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
from tamarindfold.rehearsal.day import fits
from tamarindfold.rehearsal.processes import Program
from tamarindfold.rehearsal.relay import LinkFault, Relay
from tamarindfold.standins.ledger import Ledger

STOP_LOOK_S = 0.001
SMALL_DISK = 64  # bytes that a file may grow to on a full disk: fewer than any has


def free_port() -> int:
    """A port that nobody has at this moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def marked(document: dict[str, Any], version: int) -> dict[str, Any]:
    """A version that shows from outside which one it is: by a route of its own, under a lease only."""
    made = copy.deepcopy(document)
    made["routes"] = [
        *made["routes"],
        {"method": "GET", "path": f"/mark/{version}", "class": made["classes"][0]["name"], "led_only": True},
    ]
    return made


class KeeperFleet:
    """The keepers of one run. ledger: the history of what was done to whom, and when."""

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
        """skews: by process, how far its wall clock is ahead (ms) and by what part its clocks run faster;
        faulty: by process, a fault planted in it (modelcheck.planted)."""
        self.out, self.clock, self.ledger, self.seed = out, clock, ledger, seed
        self.count, self.instances = keepers, instances
        self.skews, self.faulty = skews or {}, faulty or {}
        for folder in ("config", "logs", "state"):
            (out / folder).mkdir(parents=True, exist_ok=True)
        create_key_pair(out / "state" / "fleet")
        self.addresses = [f"127.0.0.1:{free_port()}" for _ in range(keepers)]
        self.relays: dict[tuple[str, str], Relay] = {}
        for k, address in enumerate(self.addresses):
            near = [f"keeper {other}" for other in range(keepers) if other != k]
            near += [f"instance {i}" for i in range(instances)]
            for who in near:
                name = f"{who} > keeper {k}"
                self.relays[who, f"keeper {k}"] = Relay(
                    name,
                    split_address(address, "keeper"),
                    clock,
                    seed + len(self.relays),
                    ledger.record,
                    f"127.3.{k}.{len(self.relays) % 250 + 1}",
                )
        self.programs = [self._keeper(k) for k in range(keepers)]
        self.key = signing_key(private_path(out / "state" / "fleet"))
        self.operator = OperatorClient([split_address(a, "keeper") for a in self.addresses], self.key)

    # ---- processes

    def words(self, who: str, words: list[str]) -> Program:
        """A program of this run, with a clock of its own where it has one."""
        return self.program(who, words, self.out / "logs" / f"{who.replace(' ', '-')}.log")

    def program(self, who: str, words: list[str], log: Path) -> Program:
        """The same with a log of another name."""
        program = Program(who, words, log)
        if who in self.skews:
            program.module = ("tamarindfold.rehearsal.skewed", *map(str, self.skews[who]))
        if who in self.faulty:
            program.module = ("tamarindfold.rehearsal.faulty", self.faulty[who])
        return program

    def folder(self, keeper: int) -> Path:
        """A keeper's disk."""
        return self.out / "state" / f"keeper-{keeper}"

    def _keeper(self, k: int) -> Program:
        who = f"keeper {k}"
        peers = [
            self.addresses[k] if other == k else self.relays[who, f"keeper {other}"].address
            for other in range(self.count)
        ]
        file = self.out / "config" / f"keeper-{k}.yaml"
        file.write_bytes(
            msgspec.yaml.encode(
                {
                    "me": k,
                    "keepers": peers,
                    "state_dir": str(self.folder(k)),
                    "seed": self.seed + k,
                    "key": str(private_path(self.out / "state" / "fleet")),
                }
            )
        )
        return self.words(who, ["keeper", str(file)])

    def section(self, i: int, name: str) -> dict[str, Any]:
        """What an instance's file says of the agreement."""
        return {
            "keepers": [self.relays[f"instance {i}", f"keeper {k}"].address for k in range(self.count)],
            "public_key": str(public_path(self.out / "state" / "fleet")),
            "name": name,
        }

    def start(self) -> None:
        """Start all keepers and wait until one leads."""
        gevent.joinall([gevent.spawn(p.start) for p in self.programs], raise_error=True)
        self.until(lambda: self.leader() >= 0)

    def stop(self) -> None:
        """End everything."""
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.kill()
        for relay in self.relays.values():
            relay.stop()

    def until(self, condition: Callable[[], Any], seconds: float = 30.0) -> None:
        """Wait until it holds; how long that takes decides nothing but when a hopeless wait ends."""
        with gevent.Timeout(seconds, AssertionError("waited in vain")):
            while not condition():
                gevent.sleep(0.01)

    # ---- the operator

    def _call(self, call: Callable[..., Any], *args: Any) -> Any:
        """An operator's call uses plain sockets: in a thread, so that the relays go on."""
        return gevent.get_hub().threadpool.apply(call, args)

    def look(self) -> State | None:
        """What the keeper sees that knows most; None where none answers."""
        try:
            return decode(self._call(self.operator.status).state)
        except NoAnswer:
            return None

    def voting(self) -> set[int]:
        """Which keepers answer an operator, and have heard what they need before they may vote."""
        try:
            return {look.keeper for look in self._call(self.operator.statuses) if look.recovered}
        except NoAnswer:
            return set()

    def leader(self) -> int:
        """Which keeper leads, by its own word; -1: none."""
        try:
            looks = self._call(self.operator.statuses)
        except NoAnswer:
            return -1
        return next((look.keeper for look in looks if look.leader == look.keeper and look.recovered), -1)

    def propose(
        self,
        document: dict[str, Any],
        base: int | None = None,
        token: str = "",
        author: str = "rehearsal",
        seconds: float = 20.0,
        first: tuple[str, ...] = (),
    ) -> wire.OperatorReply:
        """Propose a version with a mark of its own; NoAnswer where nothing is known of what came of it."""
        if base is None:
            state = self.look()
            base = state.newest if state is not None else 0
        made = msgspec.convert(marked(document, base + 1), Document)
        check(made)
        body = wire.Proposal(made, base, author, "a day's event", token or uuid.uuid4().hex, first)
        began = self.clock()
        self.ledger.record(began, "propose", base=base, token=body.token)
        told = self.say(body, seconds)
        self.ledger.record(
            self.clock(), "proposed", version=told.version, reason=told.reason, token=body.token, began=began
        )
        return told

    def say(self, what: wire.Proposal | wire.OperatorCommand, seconds: float = 20.0) -> wire.OperatorReply:
        """A proposal or a command as it stands."""
        told: wire.OperatorReply = self._call(self.operator.send, what, seconds)
        return told

    def tell(self, what: str, version: int = 0, name: str = "") -> wire.OperatorReply:
        """An operator's command."""
        return self.say(wire.OperatorCommand(what, version, name, "rehearsal"))

    def in_force(self, version: int, seconds: float = 30.0) -> None:
        """Wait until a version is in force."""
        self.until(lambda: (state := self.look()) is not None and state.version >= version, seconds)

    # ---- faults

    def links(self, near: str, far: str) -> list[Relay]:
        """The links between these; `*` in place of a number stands for all."""
        return [relay for (a, b), relay in self.relays.items() if fits(near, a) and fits(far, b)]

    def spoil(self, near: str, far: str, fault: LinkFault) -> None:
        """Spoil the links from near to far."""
        for relay in self.links(near, far):
            relay.spoil(fault)

    def cut_off(self, who: str, way: str = "both", for_ms: float = 0.0) -> None:
        """No keeper hears of it (there), or it of none (back), or neither."""
        fault = msgspec.convert({"kind": "cut", "way": way, "for_ms": for_ms}, LinkFault)
        self.spoil(who, "*", fault)
        if who.startswith("keeper"):
            other = {"there": "back", "back": "there"}.get(way, "both")
            self.spoil("*", who, msgspec.structs.replace(fault, way=other))

    def heal(self, near: str = "*", far: str = "*") -> None:
        """End the faults of these links."""
        for relay in self.links(near, far):
            relay.heal()

    def kill(self, keeper: int, wipe: bool = False) -> None:
        """End a keeper at once; wipe: its disk goes with it."""
        self.programs[keeper].kill()
        if wipe:
            shutil.rmtree(self.folder(keeper), ignore_errors=True)
        self.ledger.record(self.clock(), "keeper_down", index=keeper, wiped=wipe)

    def save_disk(self, keeper: int) -> Path:
        """A copy of a keeper's disk as it is now, for another day."""
        target = self.out / "state" / f"old-{keeper}-{uuid.uuid4().hex}"
        shutil.copytree(self.folder(keeper), target)
        return target

    def restore_disk(self, keeper: int, saved: Path) -> None:
        """Put an older disk in place of a keeper's, which must not run."""
        shutil.rmtree(self.folder(keeper), ignore_errors=True)
        shutil.copytree(saved, self.folder(keeper))

    def restart(self, keepers: Iterable[int]) -> None:
        """Start keepers that were ended."""
        gevent.joinall([gevent.spawn(self.programs[k].start) for k in keepers], raise_error=True)
        for k in keepers:
            self.ledger.record(self.clock(), "keeper_up", index=k)

    def fill_disk(self, keeper: int, full: bool) -> None:
        """Let no file of a keeper grow any more, or let them again."""
        child = self.programs[keeper].child
        assert child is not None
        most = SMALL_DISK if full else resource.RLIM_INFINITY
        resource.prlimit(child.pid, resource.RLIMIT_FSIZE, (most, resource.RLIM_INFINITY))
        self.ledger.record(self.clock(), "disk", index=keeper, full=full)


def halt(program: Program) -> None:
    """Stop a process and wait until it stands still."""
    assert program.child is not None
    os.kill(program.child.pid, signal.SIGSTOP)
    while True:
        stat = Path(f"/proc/{program.child.pid}/stat").read_text()
        if stat.rpartition(")")[2].split()[0] == "T":
            return
        gevent.sleep(STOP_LOOK_S)
