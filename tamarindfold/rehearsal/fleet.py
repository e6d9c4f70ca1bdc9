"""The processes of a day: stand-ins, gateways, and what happens to them."""

from __future__ import annotations

import copy
import shutil
import signal
from functools import partial
from pathlib import Path
from typing import Any

import gevent
import msgspec

from tamarindfold.agreement.document import SHARED_SECTIONS
from tamarindfold.config import derive
from tamarindfold.config.load import ConfigError, convert
from tamarindfold.config.model import GatewayConfig
from tamarindfold.identity.files import pepper_path, public_path
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.rehearsal.book import Book
from tamarindfold.rehearsal.day import Day, Event, customer_names, process
from tamarindfold.rehearsal.keepers import KeeperFleet, halt
from tamarindfold.rehearsal.marks import Prober
from tamarindfold.rehearsal.processes import Program, StandinProgram
from tamarindfold.standins.ledger import Ledger


def source_address(index: int) -> str:
    """The loopback address that a gateway speaks from: by it the stand-ins tell gateways apart."""
    return f"127.0.1.{index + 1}"


def proxy_address(index: int) -> str:
    """The loopback address that a proxy speaks from."""
    return f"127.0.2.{index + 1}"


def token_name(customer: str, turn: int = 0) -> str:
    """A customer's token; each turn has another."""
    return f"tok-{customer}-{turn}"


class RunningFleet:
    """Starts a day's processes and carries out its events; `ledger` holds what was done to them."""

    def __init__(self, day: Day, out: Path) -> None:
        self.day, self.out = day, out
        self.clock = SteadyClock().now
        for folder in ("config", "logs", "ledgers", "state"):
            (out / folder).mkdir(parents=True, exist_ok=True)
        self.ledger = Ledger(out / "ledgers" / "run.jsonl")
        self.servers = [self._server(i) for i in range(day.servers.count)]
        self.tokens = StandinProgram(
            "tokens",
            "tokens",
            day.tokens.like | {"seed": day.seed, "ledger": self._ledger("tokens"), "tokens": self._tokens()},
            out,
        )
        parts = range(day.counter.parts if day.counter else 0)
        like = day.counter.like if day.counter else {}
        self.counters = [
            StandinProgram(
                "counter",
                f"counter-{i}",
                like | {"seed": day.seed + i, "ledger": self._ledger(f"counter-{i}")},
                out,
            )
            for i in parts
        ]
        self.fleet = StandinProgram(
            "fleet",
            "fleet",
            {"seed": day.seed, "delay_ms": day.fleet.delay_ms, "ledger": self._ledger("fleet")},
            out,
        )
        self.proxies = [
            StandinProgram(
                "proxy",
                f"proxy-{i}",
                proxy.like
                | {
                    "name": f"proxy-{i}",
                    "kind": proxy.kind,
                    "seed": day.seed + i,
                    "source": proxy_address(i),
                    "ledger": self._ledger(f"proxy-{i}"),
                },
                out,
            )
            for i, proxy in enumerate(day.proxies)
        ]
        self.forwards = [""] * day.instances  # where each instance is asked by the proxies
        self.book = Book(day, out, self.ledger) if day.registry else None
        self.registry = (
            Program("registry", ["registry", "--store", str(self.book.path)], out / "logs" / "registry.log")
            if self.book
            else None
        )
        self.gateways: list[Program] = []
        self.agreed: KeeperFleet | None = None  # made where the day has keepers, once its folder is empty
        self.prober: Prober | None = None
        self.newest = 0  # version of the agreed settings
        self.settings = day.gateway  # with what was proposed since
        self.up_since = [0.0] * day.servers.count
        self.greenlets: list[gevent.Greenlet] = []

    def _ledger(self, name: str) -> str:
        return str(self.out / "ledgers" / f"{name}.jsonl")

    def _server(self, i: int) -> StandinProgram:
        name = f"server-{i}"
        return StandinProgram(
            "tariff",
            name,
            self.day.servers.like
            | {"name": name, "seed": self.day.seed * 1000 + i, "ledger": self._ledger(name)},
            self.out,
        )

    def _tokens(self) -> dict[str, Any]:
        scopes = " ".join(
            sorted(
                {
                    word
                    for route in self.day.gateway.get("routes", [])
                    for word in route.get("scope", "").split()
                }
            )
        )
        made: dict[str, Any] = {}
        life = self.day.tokens.exp_in_ms
        turns = int(self.day.duration_ms / life) + 2 if life else 1
        for customer, plan in customer_names(self.day):
            for turn in range(turns):
                claims: dict[str, Any] = {"sub": customer, "plan": plan, "scope": scopes}
                if life:
                    claims["exp_in_ms"] = life * (turn + 1.5)
                made[token_name(customer, turn)] = claims
        return made

    # ---- start and stop

    def start(self) -> None:
        """Bring everything up, servers first."""
        standins = [*self.servers, self.tokens, *self.counters]
        gevent.joinall([gevent.spawn(p.start) for p in standins], raise_error=True)
        self.fleet.config["servers"] = [self._line(i) for i in range(len(self.servers))]
        self.fleet.start()
        if self.registry is not None and self.book is not None:
            self.book.fill(self.clock())
            self.registry.address = self.registry.start().removeprefix("listening on ")
            self.registry.words += ["--port", self.registry.address.rpartition(":")[2]]
        if self.day.keepers:
            self._agree()
        self.gateways = [self._gateway(i) for i in range(self.day.instances)]
        gevent.joinall(
            [gevent.spawn(self._start_gateway, i) for i in range(self.day.instances)], raise_error=True
        )
        if self.prober is not None:
            self.prober.start()
        for proxy in self.proxies:
            proxy.config |= {"gateways": self.forwards, "servers": [s.address for s in self.servers]}
        gevent.joinall([gevent.spawn(p.start) for p in self.proxies], raise_error=True)

    @property
    def doors(self) -> list[Program]:
        """Where clients come in: the instances, then the proxies."""
        return [*self.gateways, *self.proxies]

    def stop(self) -> dict[str, int | None]:
        """End everything; the gateways' exit statuses by name."""
        gevent.killall(self.greenlets)
        if self.prober is not None:
            self.prober.stop()
        programs = [
            *self.proxies,
            *self.gateways,
            self.fleet,
            self.tokens,
            *self.counters,
            *self.servers,
            *([self.registry] if self.registry else []),
        ]
        try:
            jobs = {g.name: gevent.spawn(g.stop) for g in self.gateways}
            gevent.joinall(list(jobs.values()))
            for program in programs:
                program.stop()
            return {name: job.value for name, job in jobs.items()}
        finally:
            if self.agreed is not None:
                self.agreed.stop()
            for program in programs:
                program.kill()

    def _gateway(self, i: int) -> Program:
        name = f"gateway-{i}"
        file = self.out / "config" / f"{name}.yaml"
        file.write_bytes(msgspec.yaml.encode(self.gateway_config(i)))
        words, log = ["serve", str(file)], self.out / "logs" / f"{name}.log"
        return self.agreed.program(f"instance {i}", words, log) if self.agreed else Program(name, words, log)

    # ---- settings that are agreed

    def _agree(self) -> None:
        """Start the keepers and put the first version in force."""
        day = self.day
        self.agreed = KeeperFleet(
            self.out, day.keepers, day.instances, day.seed, self.clock, self.ledger, day.clocks, day.planted
        )
        self.agreed.start()
        self._propose({})
        self.agreed.in_force(1)
        marks = Ledger(self.out / "ledgers" / "marks.jsonl")
        self.prober = Prober(
            [partial(self._address, i) for i in range(day.instances)], lambda: self.newest, self.clock, marks
        )

    def _address(self, i: int) -> str:
        return self.gateways[i].address if self.gateways[i].alive else ""

    def _propose(self, changes: dict[str, Any]) -> None:
        assert self.agreed is not None
        self.settings = self.settings | changes
        made = self._whole(0)
        document = {name: made[name] for name in (*SHARED_SECTIONS, "terms") if name in made}
        document["max_attempts"] = made.get("upstream", {}).get("max_attempts", 3)
        told = self.agreed.propose(document, self.newest)
        if not told.version:
            raise ConfigError(f"{self.day.name}: propose: {told.reason}")
        self.newest = told.version

    def _agreed_config(self, i: int, made: dict[str, Any]) -> dict[str, Any]:
        """An instance's own file: what is agreed is not in it."""
        assert self.agreed is not None
        own = {name: part for name, part in made.items() if name not in (*SHARED_SECTIONS, "terms")}
        own["upstream"] = {k: v for k, v in own["upstream"].items() if k != "max_attempts"}
        own["instance"] = {k: v for k, v in own["instance"].items() if k not in ("index", "gateways")}
        return own | {"agreement": self.agreed.section(i, f"gateway-{i}")}

    # ---- configurations

    def gateway_config(self, i: int, port: int = 0, forward_port: int = 0) -> dict[str, Any]:
        """The configuration of one gateway: the day's, with the addresses of this run; ConfigError if bad."""
        made = self._whole(i, port, forward_port)
        where = f"{self.day.name}: gateway"
        try:
            whole = {name: part for name, part in made.items() if name != "terms"}
            derive.check(convert(whole, GatewayConfig, where))
        except ConfigError:
            raise
        except ValueError as error:
            raise ConfigError(f"{where}: {error}") from error
        return self._agreed_config(i, made) if self.agreed is not None else whole

    def _whole(self, i: int, port: int = 0, forward_port: int = 0) -> dict[str, Any]:
        made = copy.deepcopy(self.settings)
        made["instance"] = {
            "index": i,
            "gateways": self.day.instances,
            "seed": self.day.seed * 100 + i,
            "state_dir": str(self.out / "state"),
        } | made.get("instance", {})
        made["listen"] = {"port": port}
        if self.proxies:
            made["forward"] = {
                "trusted": [f"{proxy_address(n)}/32" for n in range(len(self.proxies))],
                "port": forward_port,
            } | made["forward"]
        made["fleet"] = made.get("fleet", {}) | {"feed": self.fleet.address or "127.0.0.1:1"}
        like = self.day.tokens.like
        made["introspection"] = made.get("introspection", {}) | {
            "url": f"http://{self.tokens.address or '127.0.0.1:1'}/introspect",
            "client_id": like.get("client_id", "gateway"),
            "client_secret": like.get("client_secret", "gateway-secret"),
        }
        if self.counters:
            made["counter"] = made.get("counter", {}) | {
                "parts": [c.address or "127.0.0.1:1" for c in self.counters]
            }
        if self.book is not None and self.registry is not None:
            made["identity"] = made.get("identity", {}) | {
                "registry": self.registry.address or "127.0.0.1:1",
                "public_key": str(public_path(self.book.path)),
                "pepper": str(pepper_path(self.book.path)),
            }
        made["upstream"] = made.get("upstream", {}) | {"source_address": source_address(i)}
        return made

    def _start_gateway(self, i: int) -> None:
        program = self.gateways[i]
        program.address = program.start().removeprefix("listening on ")
        file = self.out / "config" / f"{program.name}.yaml"
        port, forward_port = int(program.address.rpartition(":")[2]), 0
        if self.proxies:
            self.forwards[i] = program.line().removeprefix("forward-auth on ")
            forward_port = int(self.forwards[i].rpartition(":")[2])
        # the ports stay at a restart
        file.write_bytes(msgspec.yaml.encode(self.gateway_config(i, port, forward_port)))
        self.ledger.record(
            self.clock(), "instance_up", index=i, source=source_address(i), forward=self.forwards[i]
        )

    # ---- the list of servers

    def _line(self, i: int, state: str = "ready") -> dict[str, Any]:
        servers = self.day.servers
        return {
            "address": self.servers[i].address,
            "state": state,
            "zone": i % servers.zones,
            "cell": i % servers.cells,
            "up_since_ms": self.up_since[i],
        }

    def _list(self, i: int, state: str) -> None:
        self.fleet.command("PUT", "/servers", [self._line(i, state)])

    # ---- what happens

    def happen(self, event: Event) -> None:
        """Carry out one event."""
        if event.do in ("rotate", "set_plan") and self.book is not None:
            self.ledger.record(self.clock(), "event", do=event.do, target=event.customers)
            return self.book.happen(event, self.clock())
        self.ledger.record(self.clock(), "event", do=event.do, target=event.target)
        if self.agreed is not None and self._agreed_happens(self.agreed, event):
            return None
        kind, number = process(event)
        match event.do, kind:
            case "fault", _:
                self._standin(kind, number).command("POST", "/faults", msgspec.to_builtins(event.fault))
            case "clear", _:
                self._standin(kind, number).command("DELETE", "/faults")
            case "kill", "server":
                self.servers[number].kill()
                self._later(self.day.fleet.detect_ms, self._noticed_dead, number)
            case "start", "server":
                self._start_cold(number)
            case ("drain" | "ready" | "remove") as do, "server":
                self._list(number, {"drain": "draining", "ready": "ready", "remove": "gone"}[do])
            case "kill", "instance":
                self._kill_gateway(number)
            case "start", "instance":
                self._start_gateway(number)
            case "kill", "registry":
                assert self.registry is not None
                self.registry.kill()
            case "start", "registry":
                assert self.registry is not None
                self.registry.start()
            case "stall", "instance":
                halt(self.gateways[number])  # what is noted as stopped does stand still from then on
                self.ledger.record(self.clock(), "instance_stalls", index=number, for_ms=event.for_ms)
                self._later(event.for_ms, self._resume, number)
            case "stall", "server":
                fault = {"kind": "stall", "for_ms": event.for_ms}
                self.servers[number].command("POST", "/faults", fault)

    def _agreed_happens(self, agreed: KeeperFleet, event: Event) -> bool:
        """Carry out what concerns the agreement; False where the event does not."""
        if event.do == "propose":
            self._propose(event.changes)
            return True
        if event.do in ("link", "heal"):
            near, _, far = event.target.partition(" > ")
            if event.link is not None:
                agreed.spoil(near, far, event.link)
            else:
                agreed.heal(near, far)
            return True
        kind, number = process(event)
        if event.do == "step":
            program = agreed.programs[number] if kind == "keeper" else self.gateways[number]
            program.signal(signal.SIGUSR2)
            return True
        if kind == "instance" and event.do == "wipe":  # its machine is lost with its disk
            self._kill_gateway(number)
            shutil.rmtree(self.out / "state" / f"gateway-{number}", ignore_errors=True)
            return True
        if kind != "keeper":
            return False
        match event.do:
            case "kill" | "wipe":
                agreed.kill(number, event.do == "wipe")
            case "start":
                agreed.restart([number])
            case "fill" | "empty":
                agreed.fill_disk(number, event.do == "fill")
            case "stall":
                agreed.programs[number].signal(signal.SIGSTOP)
                self._later(event.for_ms, agreed.programs[number].signal, signal.SIGCONT)
        return True

    def _kill_gateway(self, number: int) -> None:
        self.ledger.record(self.clock(), "instance_down", index=number)
        self.gateways[number].kill()

    def _standin(self, kind: str, number: int) -> StandinProgram:
        if kind == "server":
            return self.servers[number]
        if kind == "counter":
            return self.counters[number]
        if kind == "proxy":
            return self.proxies[number]
        return self.tokens if kind == "tokens" else self.fleet

    def _later(self, after_ms: float, call: Any, *args: Any) -> None:
        self.greenlets.append(gevent.spawn_later(after_ms / 1000, call, *args))

    def _noticed_dead(self, number: int) -> None:
        if not self.servers[number].alive:
            self._list(number, "gone")

    def _start_cold(self, number: int) -> None:
        server = self.servers[number]
        server.config["cold"] = True
        started = msgspec.json.decode(server.start())
        self.up_since[number] = started["at_ms"]
        self._list(number, "ready")

    def _resume(self, number: int) -> None:
        self.gateways[number].signal(signal.SIGCONT)
        self.ledger.record(self.clock(), "instance_resumes", index=number)
