"""Small components: clock, server list, configuration, command line, and import layers."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarindfold.config import derive
from tamarindfold.config.load import ConfigError, load
from tamarindfold.config.model import GatewayConfig
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.interface import BackendState, ListKind
from tamarindfold.membership.feed import FeedGap, ServerList

ROOT = Path(__file__).parent.parent
EXAMPLE = (ROOT / "examples" / "gateway.yaml").read_text()

# ---- clock


@given(st.lists(st.tuples(st.floats(0, 10), st.floats(-1e6, 1e6)), max_size=50))
def test_the_clock_never_goes_back_when_the_wall_clock_jumps(steps) -> None:
    monotonic, wall = [0.0], [1000.0]
    clock = SteadyClock(lambda: monotonic[0], lambda: wall[0])
    last = clock.now()
    for elapsed, jump in steps:
        monotonic[0] += elapsed
        wall[0] += elapsed + jump
        clock.slew()
        assert clock.now() >= last
        last = clock.now()


def test_the_clock_converges_to_the_wall_clock() -> None:
    monotonic, wall = [0.0], [0.0]
    clock = SteadyClock(lambda: monotonic[0], lambda: wall[0])
    wall[0] = 2.0
    for _ in range(1000):
        monotonic[0] += 1.0
        wall[0] += 1.0
        clock.slew()
    assert abs(clock.now() - wall[0] * 1000) < 1


# ---- server list


def line(version: int, kind: str = "changes", *servers: str) -> bytes:
    return b'{"kind":"%s","version":%d,"servers":[%s]}' % (kind.encode(), version, ",".join(servers).encode())


def server(port: int, state: str = "ready") -> str:
    return f'{{"address":"127.0.0.1:{port}","state":"{state}"}}'


def test_changes_need_a_full_list_and_consecutive_versions() -> None:
    fleet = ServerList()
    with pytest.raises(FeedGap):
        fleet.apply(line(3))
    assert fleet.apply(line(5, "full", server(1), server(2))).kind is ListKind.FULL
    update = fleet.apply(line(6, "changes", server(1, "gone"), server(2, "draining")))
    assert [e.state for e in update.entries] == [BackendState.GONE, BackendState.DRAINING]
    with pytest.raises(FeedGap):
        fleet.apply(line(8))
    assert fleet.version == 6 and list(fleet.lines) == ["127.0.0.1:2"]


def test_a_saved_list_is_a_cached_update_and_still_needs_a_full_list() -> None:
    fleet, restored = ServerList(), ServerList()
    fleet.apply(line(5, "full", server(1), server(2, "draining")))
    update = restored.restore(fleet.encode())
    assert update.kind is ListKind.CACHED and len(update.entries) == 2
    with pytest.raises(FeedGap):
        restored.apply(line(6))


@pytest.mark.parametrize(
    "invalid",
    [
        b"",
        b"{}",
        b"[1]",
        line(1, "half"),
        line(-1, "full"),
        b"\xff",
        line(1, "full", '{"address":"nowhere:1"}'),
        line(1, "full", '{"address":"127.0.0.1:0"}'),
        line(1, "full", '{"address":"127.0.0.1:1","state":"ill"}'),
    ],
)
def test_an_invalid_line_changes_nothing(invalid) -> None:
    fleet = ServerList()
    fleet.apply(line(1, "full", server(1)))
    with pytest.raises(ValueError, match="feed"):
        fleet.apply(invalid)
    assert list(fleet.lines) == ["127.0.0.1:1"] and fleet.version == 1


# ---- configuration and command line


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "tamarindfold.cli.main", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )


def test_check_accepts_the_example_and_prints_its_plans() -> None:
    done = run_command("check", "examples/gateway.yaml")
    assert done.returncode == 0 and "plan chain: 40 units/s" in done.stdout


INVALID_CONFIGURATIONS = [
    ("instance: {index: 0, gateways: 3", "instance: {index: 5, gateways: 3", "instance.index"),
    ("port: 8080", "port: 80800", "listen.port"),
    ("port: 8080", "prot: 8080", "prot"),
    ("effect: unsafe", "effect: sometimes", "classes[2].effect"),
    ("window_ms: 3000", "window_ms: 0", "classes[1].window_ms"),
    ("class: quote,", "class: coat,", "routes[0].class"),
    ("name: chain", "name: corner", "plans"),
    ("path: /bookings", "path: bookings", "routes[1].path"),
    ("rate: 5", "rate: -5", "plans[0].rate"),
    ("rate: 5", "rate: .nan", "rate"),
    ("most_units: 4", "most_units: 4, width: 9", "customers.width"),
    ("most_units: 4", "most_units: 4, default_plan: gold", "customers.default_plan"),
    ("most_units: 4", "most_units: 4, default_units: 5", "customers.default_units"),
    ("127.0.0.1:6379", "localhost", "counter.parts[0]"),
    ("127.0.0.1:9101", "127.0.0.1", "fleet.static[0].address"),
    ("fleet:\n", "fleet:\n  feed: 127.0.0.1:1\n", "fleet"),
    ("url: http://", "url: gopher://", "introspection.url"),
    ("client_secret: change-me", "client_secret_env: NO_SUCH_NAME", "introspection.client_secret_env"),
    ("deadline_ms: 6000", "deadline_ms: 20", "classes[0].deadline_ms"),
    ("counter:", "counter: 5\ncunter:", "counter"),
    ("seed: 11}", "seed: 11, seed: 12}", "given twice"),
    ("classes:", "classes: [", "line"),
    ("classes:", "fronts: [proxy, forward-auth]\nclasses:", "fronts"),
    ("classes:", "fronts: [proxy, proxy]\nclasses:", "fronts"),
    ("classes:", "fronts: []\nclasses:", "fronts"),
    ("classes:", "fronts: [proxy]\nforward: {trusted: [10.0.0.0/8]}\nclasses:", "fronts"),
    ("classes:", "forward: {trusted: [10.0.0.1/8]}\nclasses:", "forward.trusted[0]"),
    ("classes:", "forward: {trusted: [10.0.0.0/8], names: {uri: [a b]}}\nclasses:", "forward.names.uri"),
    ("classes:", "forward: {trusted: [10.0.0.0/8], most_permits: 5}\nclasses:", "forward.most_deciding"),
    ("classes:", "forward: {trusted: [10.0.0.0/8], prefix: auth}\nclasses:", "forward.prefix"),
    ("classes:", "networks: [{network: 10.0.0.0/40}]\nclasses:", "networks[0]"),
    ("classes:", "networks: [{network: 10.0.0.0/8}, {network: 10.0.0.0/8}]\nclasses:", "networks"),
    ("classes:", "admin: {port: -1}\nclasses:", "admin.port"),
]


@pytest.mark.parametrize(("old", "new", "key"), INVALID_CONFIGURATIONS)
def test_a_configuration_error_is_one_line_with_its_key(tmp_path, old, new, key) -> None:
    assert old in EXAMPLE
    file = tmp_path / "g.yaml"
    file.write_text(EXAMPLE.replace(old, new, 1))
    with pytest.raises(ConfigError) as error:
        load(file, GatewayConfig, derive.check)
    assert str(error.value).startswith(f"{file}: ") and key in str(error.value)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["check", "no-such.yaml"], "No such file"),
        (["serve", "README.md"], "README.md"),
        (["rehearse", "examples/gateway.yaml"], "examples/gateway.yaml"),
        (["standin", "weather"], "weather"),
        (["judge", "examples/bad-day.yaml", "no-such-folder"], "no-such-folder"),
        (["standin", "proxy", "--config", "README.md"], "README"),
        (["fly"], "fly"),
        (["rehearse"], "--all"),
        (["rehearse", "--all", "docs"], "no scenarios"),
        (["compare", "docs", "docs"], "report.json"),
        (["rehearse", "--all", "examples/days", "--within", "5"], "over 5"),
        (["fleet", "up", "no.yaml"], "no.yaml"),
    ],
)
def test_invalid_input_ends_with_one_line_and_exit_2(arguments, text) -> None:
    done = run_command(*arguments)
    assert done.returncode == 2
    assert text in done.stderr and len(done.stderr.strip().splitlines()) == 1


# ---- layers


def test_import_layers_hold_and_an_added_upward_import_is_found(tmp_path) -> None:
    lint_command = [
        sys.executable,
        "-c",
        "from importlinter.cli import lint_imports_command; lint_imports_command()",
        "--no-cache",
        "--no-logo",
    ]
    shutil.copytree(
        ROOT / "tamarindfold", tmp_path / "tamarindfold", ignore=shutil.ignore_patterns("__pycache__")
    )
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    done = subprocess.run(lint_command, cwd=tmp_path, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout
    wheel = tmp_path / "tamarindfold" / "ds" / "wheel.py"
    wheel.write_text(wheel.read_text() + "\nimport tamarindfold.ingress.core\n")
    done = subprocess.run(lint_command, cwd=tmp_path, capture_output=True, text=True)
    assert done.returncode == 1 and "tamarindfold.ds.wheel -> tamarindfold.ingress.core" in done.stdout


def test_only_driver_modules_use_gevent() -> None:
    for package in ("introspection", "counter", "membership", "forward", "limits", "identity"):
        for path in (ROOT / "tamarindfold" / package).glob("*.py"):
            if path.name != "driver.py":
                assert "gevent" not in path.read_text(), path


def test_the_simulator_adapter_needs_no_third_party_library() -> None:
    code = (
        "import sys; sys.modules.update(dict.fromkeys(['gevent','httptools','msgspec','yaml','click'], None));"
        "import tamarindfold.bench.link"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT)
