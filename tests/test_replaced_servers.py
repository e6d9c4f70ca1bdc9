"""A process that comes up at the address of one that has gone is never taken for it."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from build import START
from rig import read_answer, request, wait_for
from testbed import PlatformTestbed

from tamarindfold.interface import BackendState, FleetUpdate
from tamarindfold.membership.feed import ServerLine
from tamarindfold.platform.registry import BackendDirectory

ADDRESS, OTHER = "127.0.0.1:9001", "127.0.0.1:9002"


def instance(name: str, started: float = 0, address: str = ADDRESS, **changes: Any) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": address, "startedAtMs": started} | changes


def line(*instances: dict[str, Any], reset: bool = False, generation: int = 1) -> bytes:
    return msgspec.json.encode({"generation": generation, "reset": reset, "instances": list(instances)})


def ready(update: FleetUpdate) -> list[int]:
    """The numbers that are ready after an update has been applied in order."""
    states = {entry.backend: entry.state for entry in update.entries}
    return [number for number, state in states.items() if state is BackendState.READY]


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("lifecycle", ["active", "leaving"])
def test_later_process_at_an_address_replaces_the_former_one(reset, lifecycle) -> None:
    directory = BackendDirectory(("a",), ("m",))
    first, _ = directory.apply(line(instance("old", lifecycle=lifecycle), reset=True))
    old = first.entries[0].backend
    instances = [instance("old", lifecycle=lifecycle)] * reset + [instance("new", START)]
    update, moved = directory.apply(line(*instances, reset=reset))
    new = directory.numbers["new"]
    assert ready(update) == [new] and old in moved and directory.address(old) is None
    assert directory.address(new) == ("127.0.0.1", 9001) and directory.numbers == {"new": new}


def test_news_of_the_former_process_do_not_bring_it_back() -> None:
    directory = BackendDirectory(("a",), ("m",))
    directory.apply(line(instance("new", START), reset=True))
    for lifecycle in ("active", "leaving", "left"):
        update, moved = directory.apply(line(instance("old", START - 1, lifecycle=lifecycle)))
        assert not update.entries and not moved and list(directory.numbers) == ["new"]
    update, _ = directory.apply(line(instance("old", START - 1), instance("new", START), reset=True))
    assert ready(update) == [directory.numbers["new"]]


def test_address_is_free_once_its_process_has_moved_or_left() -> None:
    directory = BackendDirectory(("a",), ("m",))
    directory.apply(line(instance("a", START), reset=True))
    directory.apply(line(instance("a", START, OTHER)))
    update, moved = directory.apply(line(instance("b", START - 5)))
    assert ready(update) == [directory.numbers["b"]] and not moved and len(directory.entries) == 2
    directory.apply(line(instance("b", lifecycle="left")))
    directory.apply(line(instance("c", 1.0)))
    assert sorted(directory.numbers) == ["a", "c"] and len(directory.holders) == 2


def test_nothing_is_sent_as_to_the_former_process(start_testbed) -> None:
    """The list names the new process first; that the old one has left comes later."""
    testbed: PlatformTestbed = start_testbed(1)
    assert testbed.ask().status == 200
    node = testbed.node
    (old,) = node.core.fleet
    started = node.steady.now()
    replacement = testbed.instance(0, instanceId="s-new", startedAtMs=started)
    testbed.discovery.change(replacement)
    wait_for(lambda: old not in node.core.fleet)
    assert not node.pool.idle.get(old) and list(node.core.gateway.backends) == list(node.core.fleet)
    assert testbed.ask().status == 200
    (new,) = node.core.fleet
    assert new != old and node.core.gateway.backends[new].entry.up_since_ms == pytest.approx(started)


def test_serve_uses_no_connection_to_the_former_process(rig) -> None:
    """The old process still holds its connections when the list tells that another one has started."""
    gateway = rig(servers=1)
    with gateway.connect() as sock:
        sock.sendall(request())
        assert read_answer(sock).status == 200
    pool = gateway.ingress.pool
    wait_for(lambda: any(pool.idle.values()))
    address = gateway.servers[0].address
    gateway.fleet.change([ServerLine(address, "ready", up_since_ms=gateway.ingress.steady.now())])
    wait_for(lambda: all(e.up_since_ms for e in gateway.ingress.core.fleet.values()))
    assert not any(pool.idle.values()) and pool.total_open == 0


def test_serve_keeps_no_connection_that_was_in_use_when_the_process_was_replaced(rig) -> None:
    gateway = rig(servers=1, server={"default_work_ms": 100.0})
    with gateway.connect() as sock:
        sock.sendall(request())
        wait_for(lambda: gateway.entries("received"))
        gateway.fleet.change([ServerLine(gateway.servers[0].address, "ready", up_since_ms=5.0)])
        assert read_answer(sock).status == 200
    assert not any(gateway.ingress.pool.idle.values())
