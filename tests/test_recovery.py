"""Recovery after a restart, rejected snapshots, stalls of the process, and the budget of background work."""

from __future__ import annotations

import itertools
import resource
from dataclasses import replace
from pathlib import Path
from random import Random

import gevent
import pytest
from build import SAFE, fleet, request
from build import settings as make_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import wait_for

from tamarindfold import Gateway
from tamarindfold.config.addresses import split_address
from tamarindfold.config.derive import backend_id
from tamarindfold.ds.durable import FileReplacement, decode_frames, encode_frame, replace_file
from tamarindfold.ds.scheduler import Job, Scheduler
from tamarindfold.interface import (
    AttemptEnded,
    BackendState,
    FleetUpdate,
    ListKind,
    Outcome,
    Plan,
    Refuse,
    CustomerSnapshot,
    RequestArrived,
    StateRestored,
    Send,
    GatewayStalled,
)
from tamarindfold.recovery import format as snapshot_format
from tamarindfold.recovery.driver import Recorder
from tamarindfold.recovery.rules import is_worth_saving, merge_state, merge_times, rejection_reason

START = 1_000_000.0
CAPPED = Plan(2, 4, ceiling_rate=3, ceiling_burst=6, name="capped")
SETTINGS = make_settings(plans=(CAPPED,), classes=(SAFE,), marks_retry=True)


# ---- frames and files


@given(st.lists(st.binary(max_size=40), max_size=6), st.data())
def test_frames_are_valid_up_to_the_last_complete_one(bodies, data) -> None:
    encoded = b"".join(map(encode_frame, bodies))
    assert [body for _, body in decode_frames(encoded)] == bodies
    cut = data.draw(st.integers(0, len(encoded)))
    found = [body for _, body in decode_frames(encoded[:cut])]
    assert [b for b in found if b is not None] == bodies[: len([b for b in found if b is not None])]
    assert (found and found[-1] is None) or encoded[:cut] == b"".join(map(encode_frame, bodies[: len(found)]))


def test_a_file_is_replaced_completely_or_not_at_all(tmp_path) -> None:
    path = tmp_path / "a"
    assert replace_file(path, [b"one", b"two"]) == 6 and path.read_bytes() == b"onetwo"
    replacement = FileReplacement(path)
    replacement.write(b"half")
    assert path.read_bytes() == b"onetwo"
    replacement.discard()
    assert path.read_bytes() == b"onetwo" and [p.name for p in tmp_path.iterdir()] == ["a"]


# ---- snapshot format


ROWS = st.lists(
    st.builds(
        CustomerSnapshot,
        st.integers(0, 2**33),
        st.just(0),
        st.integers(1, 9),
        st.lists(st.floats(0, 1e13), max_size=4),
        st.floats(0, 1e13),
        st.integers(0, 2**40),
        st.floats(0, 1e9),
        st.floats(0, 1e12),
        st.floats(-1e6, 1e6),
        st.floats(0, 1e13),
    ),
    max_size=8,
)
HEADER = snapshot_format.Header(
    snapshot_format.configuration_digest(SETTINGS), 0, 3, START, False, ("capped",), (12.5,)
)


def encode_snapshot(rows: list[CustomerSnapshot], header: snapshot_format.Header = HEADER) -> bytes:
    return (
        snapshot_format.encode_header(header)
        + (snapshot_format.encode_customers(rows) if rows else b"")
        + snapshot_format.encode_end(len(rows))
    )


@given(ROWS)
def test_a_snapshot_is_decoded_as_it_was_encoded(rows) -> None:
    assert snapshot_format.decode_snapshot(encode_snapshot(rows)) == (HEADER, rows)


def test_a_snapshot_truncated_or_corrupted_at_any_byte_is_rejected() -> None:
    data = encode_snapshot([CustomerSnapshot(7, 0, 2, [START], START)])
    for cut in range(len(data)):
        with pytest.raises(snapshot_format.InvalidSnapshot):
            snapshot_format.decode_snapshot(data[:cut])
        with pytest.raises(snapshot_format.InvalidSnapshot):
            snapshot_format.decode_snapshot(data[:cut] + bytes([data[cut] ^ 0x41]) + data[cut + 1 :])
    for invalid in (
        data + encode_frame(b""),
        data + data,
        encode_frame(b"\xff\xff"),
        snapshot_format.encode_end(0),
        snapshot_format.encode_header(HEADER) + snapshot_format.encode_end(1),
        encode_snapshot([], replace(HEADER, version=2)),
    ):
        with pytest.raises(snapshot_format.InvalidSnapshot):
            snapshot_format.decode_snapshot(invalid)


@pytest.mark.parametrize(
    ("change", "now", "expected"),
    [
        ({}, START, ""),
        ({"configuration": b"x"}, START, "another configuration"),
        ({"instance": 1}, START, "instance 1"),
        ({}, START - 5_000, "future"),
        ({}, START + 700_000, "too old"),
        ({}, START - 1_000, ""),
    ],
)
def test_snapshots_that_cannot_be_used_are_rejected(change, now, expected) -> None:
    reason = rejection_reason(
        replace(HEADER, **change), now, snapshot_format.configuration_digest(SETTINGS), 0, 600_000, 2_000
    )
    assert (expected in reason) if expected else not reason


def test_a_snapshot_is_merged_with_its_journals() -> None:
    rows = [
        CustomerSnapshot(1, 0, 2, [10.0, 20.0], 20.0, cap_tokens=3.0, at_ms=5.0),
        CustomerSnapshot(2, 1, 2, [], 0.0),
    ]
    header = replace(HEADER, plans=("capped", "gone"))
    entries = snapshot_format.JournalEntries(
        [(1, 0, 2, 20.0), (1, 0, 2, 30.0), (3, 0, 2, 40.0), (4, 1, 2, 9.0), (4, 9, 2, 9.0)],
        [(1, 0, 2, 2.0), (5, 0, 2, 1.0)],
    )
    restored = merge_state(header, rows, entries, ["other", "capped"], 100.0)
    by_customer = {r.customer: r for r in restored.customers}
    assert set(by_customer) == {1, 3, 5} and all(r.plan == 1 for r in by_customer.values())
    assert (
        by_customer[1].appointments == [10.0, 20.0, 30.0]
        and by_customer[1].end_of_queue_ms == 30.0
        and by_customer[1].cap_tokens == 1.0
    )
    assert by_customer[3].appointments == [40.0] and by_customer[5].cap_tokens == -1.0
    assert merge_times([1.0, 2.0], [2.001, 3.0]) == [1.0, 2.0, 3.0]


def test_customers_worth_saving() -> None:
    row = CustomerSnapshot(1, 0, 2, [], START, cap_tokens=3.0, at_ms=START)
    assert is_worth_saving(row, SETTINGS, START - 1)  # its retry time is in the future
    assert is_worth_saving(row, SETTINGS, START + 59_000) and not is_worth_saving(
        row, SETTINGS, START + 61_000
    )
    assert not is_worth_saving(replace(row, plan=-1), SETTINGS, START + 1)


# ---- gateway and recorder


def start_gateway(
    folder: Path, now: list[float], logged: list | None = None, plans=SETTINGS.plans
) -> tuple[Gateway, Recorder]:
    """A gateway with its recorder, restored and connected as the ingress does it."""
    gateway = Gateway(replace(SETTINGS, plans=plans), 3)
    recorder = Recorder(
        folder,
        0,
        gateway,
        600_000,
        2_000,
        lambda: now[0],
        lambda event, **f: logged.append((event, f)) if logged is not None else None,
    )
    restored = recorder.load()
    if restored is not None:
        gateway.handle(now[0], restored)
    gateway.handle(now[0], fleet(1, 2, 3))
    return gateway, recorder


def write_snapshot(recorder: Recorder) -> None:
    """Write a complete snapshot; the event loop waits for the sync thread."""
    for pause_ms in recorder.snapshot():
        gevent.sleep((pause_ms or 0.0) / 1000)


def submit(gateway: Gateway, recorder: Recorder, now: float, number: int, customer: int = 9):
    """Submit one request and record the decision; the retry time, or None if the request was sent."""
    retry_at = None
    for action in gateway.handle(now, request(number, 0, customer, 0)):
        if isinstance(action, Refuse):
            retry_at = now + action.retry_after_ms
            recorder.record_refusal(customer, 0, 2, retry_at)
        elif isinstance(action, Send):
            recorder.record_spent_units(customer, 0, 2, 1.0)
            recorder.flush()
            gateway.handle(now, AttemptEnded(number, 0, action.backend, Outcome.OK, 10.0, True))
    recorder.flush()
    return retry_at


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.integers(0, 60), st.integers(0, 12), st.booleans())
def test_retry_times_and_ceilings_continue_after_a_kill_at_any_moment(
    seed, kill_at, slices, downtime
) -> None:
    import tempfile

    draw, now, number = Random(seed), [START], 0
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        gateway, recorder = start_gateway(folder, now)
        writing, announced, sent = None, {}, []
        for step in range(120):
            now[0] += draw.expovariate(1 / 40)
            number += 1
            customer = draw.choice((7, 8, 9))
            retry_at = submit(gateway, recorder, now[0], number, customer)
            if retry_at is None:
                sent.append((now[0], customer))
            else:
                assert retry_at > announced.get(customer, 0.0) or retry_at > now[0]
                if retry_at <= announced.get(customer, 0.0):
                    assert step > kill_at  # not before the kill: retry times of one process are in order
                    raise AssertionError("a retry time not after one that was announced before the kill")
                announced[customer] = retry_at
            if step % 9 == 0:
                writing = recorder.snapshot()
            for _ in range(draw.randint(0, slices)):
                if writing is not None and next(writing, "end") == "end":
                    writing = None
            if step == kill_at:  # killed: the files are left as they are
                if writing is not None:
                    writing.close()
                if downtime:
                    now[0] += 3_000
                gateway, recorder = start_gateway(folder, now)
        for customer in (7, 8, 9):
            level, since = CAPPED.ceiling_burst / 2, START  # this gateway's share
            for at, who in sent:
                if who == customer:
                    level = (
                        min(CAPPED.ceiling_burst / 2, level + (at - since) / 1000 * CAPPED.ceiling_rate / 2)
                        - 1
                    )
                    since = at
                    assert level >= -1e-6


def test_retry_times_overlap_without_a_snapshot(tmp_path) -> None:
    now = [START]
    gateway, recorder = start_gateway(tmp_path, now)
    # Shows that the previous test would fail if nothing were restored.
    retry_times = [submit(gateway, recorder, now[0], n) for n in range(12)]
    last = max(t for t in retry_times if t is not None)
    empty_gateway, empty_recorder = start_gateway(tmp_path / "..", now)
    later_times = [
        t for t in (submit(empty_gateway, empty_recorder, now[0], n) for n in range(12)) if t is not None
    ]
    assert min(later_times) < last
    for path in (tmp_path / "..").glob("recovery-0*"):
        path.unlink()


def test_the_learnt_work_per_class_is_restored(tmp_path) -> None:
    now = [START]
    gateway, recorder = start_gateway(tmp_path, now)
    gateway.unit_ms[0] = 42.0
    recorder.record_refusal(9, 0, 2, START + 500)
    write_snapshot(recorder)
    gateway, _ = start_gateway(tmp_path, now)
    assert gateway.unit_ms == [42.0] and gateway.mean_work_ms == 42.0


def test_restoring_keeps_an_existing_customer_and_ignores_an_unknown_plan() -> None:
    gateway = Gateway(SETTINGS, 1)
    gateway.handle(START, request(1, customer=5))
    before = gateway.customers[5]
    gateway.handle(
        START,
        StateRestored([CustomerSnapshot(5, 0, 2, [], 1.0), CustomerSnapshot(6, 4, 2, [], 1.0)], [1.0, 2.0]),
    )
    assert gateway.customers[5] is before and 6 not in gateway.customers and len(gateway.unit_ms) == 1


# ---- disk errors and unusable files


def test_a_rejected_snapshot_is_set_aside_and_never_loaded_later(tmp_path) -> None:
    now, logged = [START], []
    gateway, recorder = start_gateway(tmp_path, now)
    submit(gateway, recorder, now[0], 1)
    recorder.record_refusal(9, 0, 2, START + 9_000)
    write_snapshot(recorder)
    now[0] -= 60_000  # the clock is set back
    _, second = start_gateway(tmp_path, now, logged)
    assert [e for e, f in logged] == ["recovery.snapshot_refused"] and "future" in logged[0][1]["reason"]
    assert second.counts["restored"] == 0 and not snapshot_format.decode_snapshot(second.path.read_bytes())[1]
    assert second.path.with_suffix(".refused").exists()
    now[0] += 61_000
    _, third = start_gateway(tmp_path, now)
    assert third.counts["restored"] == 0


@pytest.mark.parametrize("data", [b"", b"\x00" * 50, b"PK\x03\x04"])
def test_a_file_that_is_not_a_snapshot_is_rejected(tmp_path, data) -> None:
    logged = []
    (tmp_path / "recovery-0.snap").write_bytes(data)
    _, recorder = start_gateway(tmp_path, [START], logged)
    assert logged[0][0] == "recovery.snapshot_refused" and recorder.journal >= 0


def test_on_a_full_disk_the_snapshot_fails_but_the_journal_is_kept(tmp_path) -> None:
    now, logged = [START], []
    gateway, recorder = start_gateway(tmp_path, now, logged)
    recorder.record_refusal(9, 0, 2, START + 9_000)
    recorder.flush()
    write_snapshot(recorder)
    for customer in range(3000):
        gateway.handle(now[0], request(customer + 10, customer=customer))
        recorder.record_refusal(customer, 0, 2, START + 9_000)
    recorder.flush()
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (20_000, hard))  # writes fail in the kernel, as on a full disk
    try:
        write_snapshot(recorder)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    assert recorder.counts["failed"] == 1 and "recovery.snapshot_failed" in [e for e, _ in logged]
    assert not list(tmp_path.glob("*.new")) and len(recorder.tracked) >= 3000
    _, second = start_gateway(tmp_path, now)
    assert second.counts["restored"] == 3000


def test_a_journal_that_cannot_be_written_is_removed_with_its_snapshot(tmp_path) -> None:
    now, logged = [START], []
    gateway, recorder = start_gateway(tmp_path, now, logged)
    submit(gateway, recorder, now[0], 1)
    recorder.record_refusal(9, 0, 2, START + 9_000)
    write_snapshot(recorder)
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (1, hard))
    try:
        for _ in range(4):
            recorder.record_spent_units(9, 0, 2, 1.0)
            recorder.flush()
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    assert recorder.counts["journal_lost"] == 1 and not list(tmp_path.glob("recovery-0*"))
    gateway, second = start_gateway(tmp_path, now)
    gateway.handle(now[0], request(50))
    assert second.counts["restored"] == 0 and gateway.customers[9].cap_tokens <= 0  # a ceiling starts empty
    recorder.record_refusal(9, 0, 2, START + 9_000)
    write_snapshot(recorder)  # the disk has space again
    assert recorder.counts["snapshots"] == 2 and recorder.path.exists()


def test_a_restarted_gateway_continues_its_queue_of_retry_times(rig, tmp_path) -> None:
    plans = [{"name": "open", "rate": 0.001, "burst": 1}]
    first = rig(instance={"state_dir": str(tmp_path)}, plans=plans)
    waits = [
        int(a.headers["tamarind-retry-after-ms"]) for a in (first.ask() for _ in range(6)) if a.status == 429
    ]
    assert waits == sorted(waits)
    last_retry_at = first.ingress.steady.now() + waits[-1]
    first.ingress.recorder.close = lambda: None  # as if killed: no final snapshot
    first.ingress.stop()
    second = rig(instance={"state_dir": str(tmp_path)}, plans=plans)
    answers = [second.ask() for _ in range(3)]
    retry_times = [
        second.ingress.steady.now() + int(a.headers["tamarind-retry-after-ms"])
        for a in answers
        if a.status == 429
    ]
    assert retry_times and min(retry_times) > last_retry_at
    second.ingress.background.stop()  # as Ingress.stop does, or a periodic snapshot could replace the last one
    second.ingress.recorder.close()
    header, rows = snapshot_format.decode_snapshot((tmp_path / "recovery-0.snap").read_bytes())
    assert header.last and len(rows) == 1


@pytest.mark.parametrize("feed_unreachable", [False, True])
def test_a_restarted_gateway_listens_after_the_first_feed_message_or_its_time_out(
    rig, tmp_path, feed_unreachable
) -> None:
    instance = {"state_dir": str(tmp_path)}
    first = rig(instance=instance)
    first.ingress.stop()
    feed = {"feed": "127.0.0.1:9", "first_list_ms": 20} if feed_unreachable else {"first_list_ms": 60_000}
    second = rig(instance=instance, fleet=feed)  # other servers
    expected = {
        backend_id(*split_address(server.address, ""))
        for server in (first if feed_unreachable else second).servers
    }
    assert set(second.ingress.core.fleet) == expected
    assert any(event == "fleet.first_line_awaited_in_vain" for event, _ in second.logged) is feed_unreachable


# ---- stalls of the process


def test_a_time_out_that_spans_a_stall_does_not_count_against_the_backend() -> None:
    for stalled in (False, True):
        gateway = Gateway(make_settings(), 1)
        gateway.handle(START, fleet(1, 2))
        (sent,) = gateway.handle(START, request(1))
        if stalled:
            gateway.handle(START + 2000, GatewayStalled(2000.0))
        gateway.handle(START + 2000, AttemptEnded(1, 0, sent.backend, Outcome.TIMEOUT, 2000.0, False))
        slow = gateway.backends[sent.backend].slowness[0].value
        assert (slow == 1.0) is stalled
        assert not gateway.backends[sent.backend].outstanding


def test_silence_of_a_backend_is_measured_from_the_end_of_a_stall() -> None:
    gateway = Gateway(make_settings(), 1)
    gateway.handle(START, fleet(1))
    gateway.handle(START, request(1))
    call = next(iter(gateway.calls.values()))
    backend = gateway.backends[1]
    assert gateway.forecast(START + 3000, backend, call, 1.0) > 2000
    gateway.handle(START + 3000, GatewayStalled(3000.0))
    assert gateway.forecast(START + 3000, backend, call, 1.0) < 2000


def test_fleet_updates_are_processed_before_pending_requests_after_a_stall(rig, monkeypatch) -> None:
    monkeypatch.setattr("tamarindfold.ingress.core.RESUME_DELAY_S", 3600.0)  # the test ends the delay itself
    r = rig(servers=2)
    core, events = r.ingress.core, []
    handle = core.gateway.handle
    core.gateway.handle = lambda now, event: events.append(event) or handle(now, event)
    drained = r.servers[0]
    entry = next(e for e in core.fleet.values() if e.backend & 0xFFFF == drained.server.server_port)
    core.last_turn_ms -= 5_000  # as after SIGSTOP
    job = gevent.spawn(r.ask)
    wait_for(lambda: core.counts["arrived"])
    assert not any(isinstance(e, RequestArrived) for e in events) and not core.resumed.is_set()
    core.update_fleet(FleetUpdate(ListKind.CHANGES, [replace(entry, state=BackendState.DRAINING)]))
    assert [type(e) for e in events] == [GatewayStalled, FleetUpdate]
    core.resumed.set()
    core._process_events()
    assert job.get().status == 200
    kinds = [type(e) for e in events]
    assert kinds.index(GatewayStalled) < kinds.index(FleetUpdate) < kinds.index(RequestArrived)
    assert not drained.ledger.entries_of_kind("received") and core.counts["stalls"] == 1


def test_a_request_whose_deadline_passed_in_a_stall_is_answered_but_not_sent(rig) -> None:
    r = rig()
    core = r.ingress.core
    start = core.sender.start

    def start_after_stall(exchange, *rest):
        exchange.give_up_ms = core.clock() - 1  # the deadline passed during the stall
        start(exchange, *rest)

    core.sender.start = start_after_stall
    answer = r.ask("/switches", "POST")
    assert (answer.status, answer.outcome) == (503, "refused") and not r.entries("received")


# ---- background work


def drive(scheduler: Scheduler, until: float, cost: dict[str, float]) -> tuple[list[str], float]:
    """Run jobs in simulated time, where a slice takes the cost of its job; their order and the time used."""
    now, order, used = [0.0], [], 0.0
    while now[0] < until:
        job, wait = scheduler.next(now[0])
        if job is None:
            now[0] += max(wait, 0.01) if wait < until else until
            continue
        ticks = iter((now[0], now[0] + cost[job.name]))
        scheduler.run(job, lambda ticks=ticks: next(ticks))
        now[0] += cost[job.name]
        used += cost[job.name]
        order.append(job.name)
    return order, used


def slices(count: int):
    return lambda: itertools.repeat(None, count)


def test_background_work_stays_within_its_fraction_of_the_time() -> None:
    scheduler = Scheduler(0.05)
    scheduler.add(Job("big", slices(100_000), 10.0), 0.0)
    _, used = drive(scheduler, 10_000.0, {"big": 3.0})
    assert used <= 0.05 * 10_000 + 20 + 3 and used > 0.04 * 10_000


def test_higher_priorities_run_first_and_no_job_starves() -> None:
    scheduler = Scheduler(0.5)
    low = scheduler.add(Job("low", slices(3), 1.0, 0), 0.0)
    scheduler.add(Job("high", slices(10**9), 1.0, 3), 0.0)
    order, _ = drive(scheduler, 20_000.0, {"low": 2.0, "high": 2.0})
    assert order[:50].count("low") == 0 and order.count("low") >= 4
    assert low.runs >= 1 and order.count("high") > 20 * order.count("low")


def test_a_failed_job_is_reported_and_started_again() -> None:
    scheduler = Scheduler(1.0)

    def work():
        yield
        raise ValueError("full")

    job = scheduler.add(Job("bad", work, 5.0), 0.0)
    assert scheduler.next(0.0) == (None, 5.0) and scheduler.next(5.0)[0] is job
    assert scheduler.run(job, lambda: 5.0) is None
    assert str(scheduler.run(job, lambda: 6.0)) == "full"
    assert (job.failed, job.iterator, job.due_ms) == (1, None, 11.0)
    with pytest.raises(ValueError, match="time_fraction"):
        Scheduler(0)


def test_a_scheduler_without_jobs_waits_forever() -> None:
    assert Scheduler(1.0).next(0.0) == (None, float("inf"))
