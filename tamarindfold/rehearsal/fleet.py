"""The processes of a run (stand-ins, gateways, keepers) and the events that are applied to them."""

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
from tamarindfold.rehearsal.keepers import KeeperGroup, suspend
from tamarindfold.rehearsal.processes import Program, StandinProgram
from tamarindfold.rehearsal.registry_operator import RegistryOperator
from tamarindfold.rehearsal.scenario import Scenario, ScenarioEvent, customers_with_plans, parse_target
from tamarindfold.rehearsal.version_probe import VersionProber
from tamarindfold.standins.ledger import Ledger


def source_address(index: int) -> str:
    """The loopback address that a gateway connects from; the stand-ins distinguish gateways by it."""
    return f"127.0.1.{index + 1}"


def proxy_address(index: int) -> str:
    """The loopback address that a proxy connects from."""
    return f"127.0.2.{index + 1}"


def token_name(customer: str, period: int = 0) -> str:
    """A customer's token in a period; a period lasts as long as a token is valid."""
    return f"tok-{customer}-{period}"


class RunningFleet:
    """Starts the processes of a scenario and applies its events, which are recorded in the ledger."""

    def __init__(self, scenario: Scenario, out: Path) -> None:
        self.scenario, self.out = scenario, out
        self.clock = SteadyClock().now
        for folder in ("config", "logs", "ledgers", "state"):
            (out / folder).mkdir(parents=True, exist_ok=True)
        self.ledger = Ledger(out / "ledgers" / "run.jsonl")
        self.servers = [self._server_program(i) for i in range(scenario.servers.count)]
        self.tokens = StandinProgram(
            "tokens",
            "tokens",
            scenario.tokens.like
            | {"seed": scenario.seed, "ledger": self._ledger_path("tokens"), "tokens": self._token_claims()},
            out,
        )
        parts = range(scenario.counter.parts if scenario.counter else 0)
        like = scenario.counter.like if scenario.counter else {}
        self.counters = [
            StandinProgram(
                "counter",
                f"counter-{i}",
                like | {"seed": scenario.seed + i, "ledger": self._ledger_path(f"counter-{i}")},
                out,
            )
            for i in parts
        ]
        self.fleet = StandinProgram(
            "fleet",
            "fleet",
            {
                "seed": scenario.seed,
                "delay_ms": scenario.fleet.delay_ms,
                "ledger": self._ledger_path("fleet"),
            },
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
                    "seed": scenario.seed + i,
                    "source": proxy_address(i),
                    "ledger": self._ledger_path(f"proxy-{i}"),
                },
                out,
            )
            for i, proxy in enumerate(scenario.proxies)
        ]
        self.forward_addresses = [""] * scenario.instances  # of the forward-auth front of each instance
        self.registry_operator = RegistryOperator(scenario, out, self.ledger) if scenario.registry else None
        self.registry = (
            Program(
                "registry",
                ["registry", "--store", str(self.registry_operator.path)],
                out / "logs" / "registry.log",
            )
            if self.registry_operator
            else None
        )
        self.gateways: list[Program] = []
        self.keepers: KeeperGroup | None = None  # set in start(), once the state folder is empty
        self.prober: VersionProber | None = None
        self.newest_version = 0  # of the agreed settings
        self.gateway_settings = scenario.gateway  # updated by proposals
        self.up_since = [0.0] * scenario.servers.count
        self.greenlets: list[gevent.Greenlet] = []

    def _ledger_path(self, name: str) -> str:
        return str(self.out / "ledgers" / f"{name}.jsonl")

    def _server_program(self, i: int) -> StandinProgram:
        name = f"server-{i}"
        return StandinProgram(
            "tariff",
            name,
            self.scenario.servers.like
            | {"name": name, "seed": self.scenario.seed * 1000 + i, "ledger": self._ledger_path(name)},
            self.out,
        )

    def _token_claims(self) -> dict[str, Any]:
        """The claims of each token that a customer uses during the run."""
        scopes = " ".join(
            sorted(
                {
                    scope
                    for route in self.scenario.gateway.get("routes", [])
                    for scope in route.get("scope", "").split()
                }
            )
        )
        tokens: dict[str, Any] = {}
        lifetime_ms = self.scenario.tokens.exp_in_ms
        periods = int(self.scenario.duration_ms / lifetime_ms) + 2 if lifetime_ms else 1
        for customer, plan in customers_with_plans(self.scenario):
            for period in range(periods):
                claims: dict[str, Any] = {"sub": customer, "plan": plan, "scope": scopes}
                if lifetime_ms:
                    claims["exp_in_ms"] = lifetime_ms * (period + 1.5)
                tokens[token_name(customer, period)] = claims
        return tokens

    # ---- start and stop

    def start(self) -> None:
        """Start all processes, beginning with the servers."""
        standins = [*self.servers, self.tokens, *self.counters]
        gevent.joinall([gevent.spawn(p.start) for p in standins], raise_error=True)
        self.fleet.config["servers"] = [self._server_entry(i) for i in range(len(self.servers))]
        self.fleet.start()
        if self.registry is not None and self.registry_operator is not None:
            self.registry_operator.create_store(self.clock())
            self.registry.address = self.registry.start().removeprefix("listening on ")
            self.registry.arguments += ["--port", self.registry.address.rpartition(":")[2]]
        if self.scenario.keepers:
            self._start_keepers()
        self.gateways = [self._gateway_program(i) for i in range(self.scenario.instances)]
        gevent.joinall(
            [gevent.spawn(self._start_gateway, i) for i in range(self.scenario.instances)], raise_error=True
        )
        if self.prober is not None:
            self.prober.start()
        for proxy in self.proxies:
            proxy.config |= {"gateways": self.forward_addresses, "servers": [s.address for s in self.servers]}
        gevent.joinall([gevent.spawn(p.start) for p in self.proxies], raise_error=True)

    @property
    def entry_points(self) -> list[Program]:
        """The programs that clients connect to: the instances, then the proxies."""
        return [*self.gateways, *self.proxies]

    def stop(self) -> dict[str, int | None]:
        """End all processes; the exit statuses of the gateways by name."""
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
            if self.keepers is not None:
                self.keepers.stop()
            for program in programs:
                program.kill()

    def _gateway_program(self, i: int) -> Program:
        name = f"gateway-{i}"
        file = self.out / "config" / f"{name}.yaml"
        file.write_bytes(msgspec.yaml.encode(self.gateway_config(i)))
        arguments, log = ["serve", str(file)], self.out / "logs" / f"{name}.log"
        if self.keepers:
            return self.keepers.create_program_with_log(f"instance {i}", arguments, log)
        return Program(name, arguments, log)

    # ---- agreed settings

    def _start_keepers(self) -> None:
        """Start the keepers and put the first version in force."""
        scenario = self.scenario
        self.keepers = KeeperGroup(
            self.out,
            scenario.keepers,
            scenario.instances,
            scenario.seed,
            self.clock,
            self.ledger,
            scenario.clocks,
            scenario.planted,
        )
        self.keepers.start()
        self._propose({})
        self.keepers.wait_in_force(1)
        probes = Ledger(self.out / "ledgers" / "marks.jsonl")
        self.prober = VersionProber(
            [partial(self._gateway_address, i) for i in range(scenario.instances)],
            lambda: self.newest_version,
            self.clock,
            probes,
        )

    def _gateway_address(self, i: int) -> str:
        """The address of a gateway; empty while it is down."""
        return self.gateways[i].address if self.gateways[i].alive else ""

    def _propose(self, changes: dict[str, Any]) -> None:
        """Propose the settings with these changes; ConfigError if the keepers reject them."""
        assert self.keepers is not None
        self.gateway_settings = self.gateway_settings | changes
        config = self._complete_config(0)
        document = {name: config[name] for name in (*SHARED_SECTIONS, "terms") if name in config}
        document["max_attempts"] = config.get("upstream", {}).get("max_attempts", 3)
        reply = self.keepers.propose(document, self.newest_version)
        if not reply.version:
            raise ConfigError(f"{self.scenario.name}: propose: {reply.reason}")
        self.newest_version = reply.version

    def _managed_config(self, i: int, config: dict[str, Any]) -> dict[str, Any]:
        """An instance's own configuration file, which leaves out the agreed settings."""
        assert self.keepers is not None
        local = {name: section for name, section in config.items() if name not in (*SHARED_SECTIONS, "terms")}
        local["upstream"] = {k: v for k, v in local["upstream"].items() if k != "max_attempts"}
        local["instance"] = {k: v for k, v in local["instance"].items() if k not in ("index", "gateways")}
        return local | {"agreement": self.keepers.agreement_section(i, f"gateway-{i}")}

    # ---- configurations

    def gateway_config(self, i: int, port: int = 0, forward_port: int = 0) -> dict[str, Any]:
        """A gateway's configuration with the addresses of this run; ConfigError if it is invalid."""
        config = self._complete_config(i, port, forward_port)
        where = f"{self.scenario.name}: gateway"
        try:
            complete = {name: section for name, section in config.items() if name != "terms"}
            derive.check(convert(complete, GatewayConfig, where))
        except ConfigError:
            raise
        except ValueError as error:
            raise ConfigError(f"{where}: {error}") from error
        return self._managed_config(i, config) if self.keepers is not None else complete

    def _complete_config(self, i: int, port: int = 0, forward_port: int = 0) -> dict[str, Any]:
        """The settings with all addresses of this run, whether agreed or not."""
        config = copy.deepcopy(self.gateway_settings)
        config["instance"] = {
            "index": i,
            "gateways": self.scenario.instances,
            "seed": self.scenario.seed * 100 + i,
            "state_dir": str(self.out / "state"),
        } | config.get("instance", {})
        config["listen"] = {"port": port}
        if self.proxies:
            config["forward"] = {
                "trusted": [f"{proxy_address(n)}/32" for n in range(len(self.proxies))],
                "port": forward_port,
            } | config["forward"]
        config["fleet"] = config.get("fleet", {}) | {"feed": self.fleet.address or "127.0.0.1:1"}
        like = self.scenario.tokens.like
        config["introspection"] = config.get("introspection", {}) | {
            "url": f"http://{self.tokens.address or '127.0.0.1:1'}/introspect",
            "client_id": like.get("client_id", "gateway"),
            "client_secret": like.get("client_secret", "gateway-secret"),
        }
        if self.counters:
            config["counter"] = config.get("counter", {}) | {
                "parts": [c.address or "127.0.0.1:1" for c in self.counters]
            }
        if self.registry_operator is not None and self.registry is not None:
            config["identity"] = config.get("identity", {}) | {
                "registry": self.registry.address or "127.0.0.1:1",
                "public_key": str(public_path(self.registry_operator.path)),
                "pepper": str(pepper_path(self.registry_operator.path)),
            }
        config["upstream"] = config.get("upstream", {}) | {"source_address": source_address(i)}
        return config

    def _start_gateway(self, i: int) -> None:
        program = self.gateways[i]
        program.address = program.start().removeprefix("listening on ")
        file = self.out / "config" / f"{program.name}.yaml"
        port, forward_port = int(program.address.rpartition(":")[2]), 0
        if self.proxies:
            self.forward_addresses[i] = program.read_line().removeprefix("forward-auth on ")
            forward_port = int(self.forward_addresses[i].rpartition(":")[2])
        # a restart reuses the ports
        file.write_bytes(msgspec.yaml.encode(self.gateway_config(i, port, forward_port)))
        self.ledger.record(
            self.clock(), "instance_up", index=i, source=source_address(i), forward=self.forward_addresses[i]
        )

    # ---- the server list

    def _server_entry(self, i: int, state: str = "ready") -> dict[str, Any]:
        servers = self.scenario.servers
        return {
            "address": self.servers[i].address,
            "state": state,
            "zone": i % servers.zones,
            "cell": i % servers.cells,
            "up_since_ms": self.up_since[i],
        }

    def _publish_state(self, i: int, state: str) -> None:
        self.fleet.command("PUT", "/servers", [self._server_entry(i, state)])

    # ---- events

    def apply_event(self, event: ScenarioEvent) -> None:
        """Apply one event."""
        if event.do in ("rotate", "set_plan") and self.registry_operator is not None:
            self.ledger.record(self.clock(), "event", do=event.do, target=event.customers)
            return self.registry_operator.apply_event(event, self.clock())
        self.ledger.record(self.clock(), "event", do=event.do, target=event.target)
        if self.keepers is not None and self._apply_keeper_event(self.keepers, event):
            return None
        kind, number = parse_target(event)
        match event.do, kind:
            case "fault", _:
                self._standin_program(kind, number).command(
                    "POST", "/faults", msgspec.to_builtins(event.fault)
                )
            case "clear", _:
                self._standin_program(kind, number).command("DELETE", "/faults")
            case "kill", "server":
                self.servers[number].kill()
                self._schedule(self.scenario.fleet.detect_ms, self._remove_dead_server, number)
            case "start", "server":
                self._start_cold(number)
            case ("drain" | "ready" | "remove") as do, "server":
                self._publish_state(number, {"drain": "draining", "ready": "ready", "remove": "gone"}[do])
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
                suspend(self.gateways[number])  # first, so that it is already suspended at the recorded time
                self.ledger.record(self.clock(), "instance_stalls", index=number, for_ms=event.for_ms)
                self._schedule(event.for_ms, self._resume_gateway, number)
            case "stall", "server":
                fault = {"kind": "stall", "for_ms": event.for_ms}
                self.servers[number].command("POST", "/faults", fault)

    def _apply_keeper_event(self, keepers: KeeperGroup, event: ScenarioEvent) -> bool:
        """Apply an event that concerns keepers or agreed settings; False if the event does not."""
        if event.do == "propose":
            self._propose(event.changes)
            return True
        if event.do in ("link", "heal"):
            near, _, far = event.target.partition(" > ")
            if event.link is not None:
                keepers.inject(near, far, event.link)
            else:
                keepers.heal(near, far)
            return True
        kind, number = parse_target(event)
        if event.do == "step":
            program = keepers.programs[number] if kind == "keeper" else self.gateways[number]
            program.signal(signal.SIGUSR2)
            return True
        if kind == "instance" and event.do == "wipe":  # the loss of a machine with its disk
            self._kill_gateway(number)
            shutil.rmtree(self.out / "state" / f"gateway-{number}", ignore_errors=True)
            return True
        if kind != "keeper":
            return False
        match event.do:
            case "kill" | "wipe":
                keepers.kill(number, event.do == "wipe")
            case "start":
                keepers.restart([number])
            case "fill" | "empty":
                keepers.fill_disk(number, event.do == "fill")
            case "stall":
                keepers.programs[number].signal(signal.SIGSTOP)
                self._schedule(event.for_ms, keepers.programs[number].signal, signal.SIGCONT)
        return True

    def _kill_gateway(self, number: int) -> None:
        self.ledger.record(self.clock(), "instance_down", index=number)
        self.gateways[number].kill()

    def _standin_program(self, kind: str, number: int) -> StandinProgram:
        if kind == "server":
            return self.servers[number]
        if kind == "counter":
            return self.counters[number]
        if kind == "proxy":
            return self.proxies[number]
        return self.tokens if kind == "tokens" else self.fleet

    def _schedule(self, after_ms: float, call: Any, *args: Any) -> None:
        self.greenlets.append(gevent.spawn_later(after_ms / 1000, call, *args))

    def _remove_dead_server(self, number: int) -> None:
        if not self.servers[number].alive:
            self._publish_state(number, "gone")

    def _start_cold(self, number: int) -> None:
        server = self.servers[number]
        server.config["cold"] = True
        started = msgspec.json.decode(server.start())
        self.up_since[number] = started["at_ms"]
        self._publish_state(number, "ready")

    def _resume_gateway(self, number: int) -> None:
        self.gateways[number].signal(signal.SIGCONT)
        self.ledger.record(self.clock(), "instance_resumes", index=number)
