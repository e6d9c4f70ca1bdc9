"""The simulator's protocol and its adapter: documented examples, malformed input and a whole exchange."""

from __future__ import annotations

import struct
import subprocess
import sys
from pathlib import Path

import pytest
from build import settings

from tamarindfold.bench import wire
from tamarindfold.bench.settings import SettingsError, parse_settings
from tamarindfold.interface import (
    Cancel,
    Count,
    CountAnswered,
    Effect,
    Fail,
    FleetUpdate,
    ListKind,
    Log,
    Outcome,
    Probe,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Tell,
)

ROOT = Path(__file__).parent.parent
TEXT = """balancers=3
categories.count=1
categories.0.aim=1000
categories.0.hard_limit=4000
categories.0.idempotency=token
categories.0.group=cell
categories.0.dedup_window=3000
categories.0.points=5
index=2
permissions.most_tries=3
plans.count=1
plans.0.per_second=4
plans.0.peak_units=8
safety.start_capacity=0.2
safety.cold=15000
safety.fall_multiple=2
safety.overload_for=3000
safety.stop_sending_within=500
telemetry.fields=backlog,utilization
telemetry.via=inline
something.new=7"""


def record(code: int, body: bytes) -> bytes:
    return wire.RECORD.pack(code, len(body)) + body


def batch(*records: bytes, now: float = 1000.0) -> bytes:
    body = b"".join(records)
    return wire.BATCH_HEAD.pack(len(body), now, len(records)) + body


def provision(instance: int = 3, text: str = TEXT) -> bytes:
    return record(1000, struct.pack("<IQI", instance, 5, len(text)) + text.encode())


def view(instance: int = 3) -> bytes:
    entry = struct.pack("<4sHHHHBfd", bytes([10, 18, 74, 7]), 7003, 0, 0, 1, 1, 1.0, 0.0)
    return record(1050, struct.pack("<IBQI", instance, 2, 41, 1) + entry)


def accept(instance: int = 3, cls: int = 0) -> bytes:
    return record(1060, struct.pack("<IQfffBdQHB", instance, 77, 2, 1, 3, cls, 4000, 9, 0, 2))


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "tamarindfold.bench.link"],
        input=data,
        capture_output=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    s = parse_settings(TEXT)
    assert (s.gateways, s.index, s.drain_grace_ms) == (3, 2, 500)
    assert s.classes[0].effect is Effect.KEYED
    assert s.report_fields == ("backlog", "utilization")


@pytest.mark.parametrize(
    "key",
    [
        line.partition("=")[0]
        for line in TEXT.splitlines()
        if line[:9] not in ("telemetry", "something") and "group" not in line and "dedup" not in line
    ],
)
def test_a_missing_required_key_is_named(key: str) -> None:
    text = "\n".join(line for line in TEXT.splitlines() if not line.startswith(key + "="))
    with pytest.raises(SettingsError, match=key.replace(".", r"\.")):
        parse_settings(text)


@pytest.mark.parametrize(
    ("old", "new", "name"),
    [
        ("balancers=3", "balancers=x", "balancers"),
        ("balancers=3", "balancers=2.5", "balancers"),
        ("balancers=3", "balancers=2", "index"),
        ("aim=1000", "aim=nan", "aim"),
        ("=token", "=odd", "idempotency"),
        ("group=cell", "group=town", "group"),
        ("plans.count=1", "plans.count=0", "plans"),
        ("balancers=3", "oops", "line 1"),
    ],
)
def test_an_invalid_value_is_named(old: str, new: str, name: str) -> None:
    with pytest.raises(ValueError, match=name):
        parse_settings(TEXT.replace(old, new))


def test_the_documented_records_are_read() -> None:
    body = bytes.fromhex(
        "03000000c4913a5d28800f00000000400000803f00004040000000000000006e40640ad2557c3bf091000001"
    )
    event = wire.read_event(1060, body, settings())
    assert isinstance(event, RequestArrived)
    assert (event.units, event.first_gateway, event.width, event.time_left_ms) == (2, 1, 3, 240)
    assert not event.retry
    body = bytes.fromhex(
        "03000000022900000000000000020000000a124a075b1b000000000000010000803f0000000000000000"
        "0a9011f2841b000000000000010000c03f0000000000d4b740"
    )
    event = wire.read_event(1050, body, settings())
    assert isinstance(event, FleetUpdate)
    assert event.kind is ListKind.CACHED
    assert [(e.size, e.up_since_ms) for e in event.entries] == [(1.0, 0.0), (1.5, 6100.0)]
    body = bytes.fromhex("0300000090f689000000000001333333333333014000001842")
    event = wire.read_event(1100, body, settings())
    assert isinstance(event, CountAnswered)
    assert (event.name, event.outcome, event.total) == (9041552, Outcome.OK, 38.0)


def test_the_documented_actions_are_written() -> None:
    backend = struct.unpack("<IH", bytes.fromhex("0a124a075b1b"))
    send_record = "2e041a00000003000000c4913a5d28800f0000000000000054400a124a075b1b"
    request = 0x000F80285D3A91C4
    assert wire.write_action(3, Send(request, backend[0] << 16 | backend[1], 80.0)).hex() == send_record
    count_record = "fc03180000000300000090f689000000000000008040000000000070a740"
    assert wire.write_action(3, Count(9041552, 4.0, 3000.0)).hex() == count_record
    timer_record = "1a0414000000030000000000000000407f404d00000000000000"
    assert wire.write_action(3, SetTimer(500.0, 77)).hex() == timer_record
    tell_record = "60040e00000003000000ffffffff040068692037"
    assert wire.write_action(3, Tell(None, b"hi 7")).hex() == tell_record
    log_record = "06041700000003000000110074776f2073657276657273206b6e6f776e"
    assert wire.write_action(3, Log("two servers known")).hex() == log_record


@pytest.mark.parametrize(
    "action", [Refuse(7, 20.0), Fail(7), Cancel(7, 1), Probe(1 << 16 | 2), Tell(2, b"x")]
)
def test_every_action_record_states_its_length(action) -> None:
    data = wire.write_action(1, action)
    assert wire.RECORD.unpack_from(data)[1] == len(data) - wire.RECORD.size


def test_the_adapter_answers_batches() -> None:
    done = run(batch() + batch(provision(), view(), accept()))
    assert done.returncode == 0 and not done.stderr
    assert done.stdout[:4] == bytes(4)
    reply = done.stdout[4:]
    (length,) = struct.unpack_from("<I", reply)
    assert length == len(reply) - 4
    (code, _) = wire.RECORD.unpack_from(reply, 4)
    assert code == 1070
    assert reply[-6:] == bytes([10, 18, 74, 7]) + struct.pack("<H", 7003)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\1\2\3", "batch header"),
        (batch(accept())[:-3], "batch: input ends"),
        (batch(accept()), "instance 3 has not been started"),
        (batch(provision(), record(4242, bytes([3, 0, 0, 0]))), "unknown event code 4242"),
        (batch(provision(), record(1060, bytes([3, 0, 0, 0, 1]))), "ACCEPT: 5 bytes of fields, 44 expected"),
        (batch(provision(), accept(cls=9)), "ACCEPT band: 9"),
        (batch(provision(text="x=1")), "categories.count is missing"),
        (wire.BATCH_HEAD.pack(9, 1.0, 1) + bytes(9), "truncated"),
        (wire.BATCH_HEAD.pack(2, 1.0, 0) + bytes(2), "after the last record"),
        (batch(provision(), record(1020, bytes([3, 0, 0, 0]) + bytes(9))), "WITHDRAWN"),
    ],
)
def test_malformed_input_ends_with_one_line_on_stderr(data: bytes, message: str) -> None:
    done = run(data)
    assert done.returncode == 2
    text = done.stderr.decode()
    assert message in text and text.count("\n") == 1
