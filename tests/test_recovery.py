"""What survives a restart, what is refused, what a standstill does, and background work within its budget."""

from __future__ import annotations

import itertools
import resource
from dataclasses import replace
from pathlib import Path
from random import Random

import gevent
import pytest
from build import SAFE, fleet, request
from build import settings as made_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import wait_for

from tamarindfold import Gateway
from tamarindfold.config.addresses import split_address
from tamarindfold.config.derive import backend_id
from tamarindfold.ds.durable import Replacement, frame, frames, replace as put
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
from tamarindfold.recovery import format as files
from tamarindfold.recovery.driver import Recorder
from tamarindfold.recovery.rules import keeps, merge, refusal, restore

START = 1_000_000.0
CAPPED = Plan(2, 4, ceiling_rate=3, ceiling_burst=6, name="capped")
SETTINGS = made_settings(plans=(CAPPED,), classes=(SAFE,), marks_retry=True)


# ---- frames and files


@given(st.lists(st.binary(max_size=40), max_size=6), st.data())
def test_frames_are_good_up_to_the_last_whole_one(bodies, data) -> None:
    whole = b"".join(map(frame, bodies))
    assert [body for _, body in frames(whole)] == bodies
    cut = data.draw(st.integers(0, len(whole)))
    found = [body for _, body in frames(whole[:cut])]
    assert [b for b in found if b is not None] == bodies[: len([b for b in found if b is not None])]
    assert (found and found[-1] is None) or whole[:cut] == b"".join(map(frame, bodies[: len(found)]))


def test_a_replacement_takes_its_place_whole_or_not_at_all(tmp_path) -> None:
    path = tmp_path / "a"
    assert put(path, [b"one", b"two"]) == 6 and path.read_bytes() == b"onetwo"
    made = Replacement(path)
    made.write(b"half")
    assert path.read_bytes() == b"onetwo"
    made.drop()
    assert path.read_bytes() == b"onetwo" and [p.name for p in tmp_path.iterdir()] == ["a"]


# ---- the format


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
HEADER = files.Header(files.configuration(SETTINGS), 0, 3, START, False, ("capped",), (12.5,))


def snapshot(rows: list[CustomerSnapshot], header: files.Header = HEADER) -> bytes:
    return files.header(header) + (files.customers(rows) if rows else b"") + files.end(len(rows))


@given(ROWS)
def test_a_snapshot_reads_as_it_was_written(rows) -> None:
    assert files.read(snapshot(rows)) == (HEADER, rows)


def test_a_snapshot_cut_or_altered_anywhere_is_refused() -> None:
    data = snapshot([CustomerSnapshot(7, 0, 2, [START], START)])
    for cut in range(len(data)):
        with pytest.raises(files.BadSnapshot):
            files.read(data[:cut])
        with pytest.raises(files.BadSnapshot):
            files.read(data[:cut] + bytes([data[cut] ^ 0x41]) + data[cut + 1 :])
    for wrong in (
        data + frame(b""),
        data + data,
        frame(b"\xff\xff"),
        files.end(0),
        files.header(HEADER) + files.end(1),
        snapshot([], replace(HEADER, version=2)),
    ):
        with pytest.raises(files.BadSnapshot):
            files.read(wrong)


@pytest.mark.parametrize(
    ("change", "now", "says"),
    [
        ({}, START, ""),
        ({"configuration": b"x"}, START, "another configuration"),
        ({"instance": 1}, START, "instance 1"),
        ({}, START - 5_000, "future"),
        ({}, START + 700_000, "too old"),
        ({}, START - 1_000, ""),
    ],
)
def test_which_snapshots_are_taken(change, now, says) -> None:
    found = refusal(replace(HEADER, **change), now, files.configuration(SETTINGS), 0, 600_000, 2_000)
    assert (says in found) if says else not found


def test_snapshot_and_journals_come_together() -> None:
    rows = [
        CustomerSnapshot(1, 0, 2, [10.0, 20.0], 20.0, cap_tokens=3.0, at_ms=5.0),
        CustomerSnapshot(2, 1, 2, [], 0.0),
    ]
    header = replace(HEADER, plans=("capped", "gone"))
    entries = files.Entries(
        [(1, 0, 2, 20.0), (1, 0, 2, 30.0), (3, 0, 2, 40.0), (4, 1, 2, 9.0), (4, 9, 2, 9.0)],
        [(1, 0, 2, 2.0), (5, 0, 2, 1.0)],
    )
    found = restore(header, rows, entries, ["other", "capped"], 100.0)
    by = {r.customer: r for r in found.customers}
    assert set(by) == {1, 3, 5} and all(r.plan == 1 for r in by.values())
    assert (
        by[1].appointments == [10.0, 20.0, 30.0] and by[1].end_of_queue_ms == 30.0 and by[1].cap_tokens == 1.0
    )
    assert by[3].appointments == [40.0] and by[5].cap_tokens == -1.0
    assert merge([1.0, 2.0], [2.001, 3.0]) == [1.0, 2.0, 3.0]


def test_rows_worth_keeping() -> None:
    row = CustomerSnapshot(1, 0, 2, [], START, cap_tokens=3.0, at_ms=START)
    assert keeps(row, SETTINGS, START - 1)  # a promise ahead
    assert keeps(row, SETTINGS, START + 59_000) and not keeps(row, SETTINGS, START + 61_000)
    assert not keeps(replace(row, plan=-1), SETTINGS, START + 1)


# ---- the module


def life(
    folder: Path, now: list[float], logged: list | None = None, plans=SETTINGS.plans
) -> tuple[Gateway, Recorder]:
    """A gateway with its memory, as the ingress puts them together."""
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


def write(recorder: Recorder) -> None:
    """A whole snapshot; the disk's thread is waited for by the loop."""
    for pause_ms in recorder.snapshot():
        gevent.sleep((pause_ms or 0.0) / 1000)


def ask(gateway: Gateway, recorder: Recorder, now: float, number: int, customer: int = 9):
    """One try; what the driver notes of the answer. Gives when the client is to come back, or None where it is sent."""
    back = None
    for action in gateway.handle(now, request(number, 0, customer, 0)):
        if isinstance(action, Refuse):
            back = now + action.retry_after_ms
            recorder.refused(customer, 0, 2, back)
        elif isinstance(action, Send):
            recorder.spent(customer, 0, 2, 1.0)
            recorder.flush()
            gateway.handle(now, AttemptEnded(number, 0, action.backend, Outcome.OK, 10.0, True))
    recorder.flush()
    return back


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.integers(0, 60), st.integers(0, 12), st.booleans())
def test_after_a_kill_at_any_moment_promises_and_ceilings_go_on(seed, kill_at, slices, downtime) -> None:
    import tempfile

    draw, now, number = Random(seed), [START], 0
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        gateway, recorder = life(folder, now)
        walk, given_out, sent = None, {}, []
        for step in range(120):
            now[0] += draw.expovariate(1 / 40)
            number += 1
            customer = draw.choice((7, 8, 9))
            back = ask(gateway, recorder, now[0], number, customer)
            if back is None:
                sent.append((now[0], customer))
            else:
                assert back > given_out.get(customer, 0.0) or back > now[0]
                if back <= given_out.get(customer, 0.0):
                    assert step > kill_at  # never before: the module's own queue is in order
                    raise AssertionError("an appointment in a queue already given out")
                given_out[customer] = back
            if step % 9 == 0:
                walk = recorder.snapshot()
            for _ in range(draw.randint(0, slices)):
                if walk is not None and next(walk, "end") == "end":
                    walk = None
            if step == kill_at:  # no goodbye: the files are as they are
                if walk is not None:
                    walk.close()
                if downtime:
                    now[0] += 3_000
                gateway, recorder = life(folder, now)
        for customer in (7, 8, 9):
            level, since = CAPPED.ceiling_burst / 2, START  # this gateway's part
            for at, who in sent:
                if who == customer:
                    level = (
                        min(CAPPED.ceiling_burst / 2, level + (at - since) / 1000 * CAPPED.ceiling_rate / 2)
                        - 1
                    )
                    since = at
                    assert level >= -1e-6


def test_without_a_snapshot_appointments_overlap_so_the_test_above_can_fail(tmp_path) -> None:
    now = [START]
    gateway, recorder = life(tmp_path, now)
    backs = [ask(gateway, recorder, now[0], n) for n in range(12)]
    last = max(b for b in backs if b is not None)
    forgetful, other = life(tmp_path / "..", now)
    again = [b for b in (ask(forgetful, other, now[0], n) for n in range(12)) if b is not None]
    assert min(again) < last
    for path in (tmp_path / "..").glob("recovery-0*"):
        path.unlink()


def test_a_restart_knows_the_work_of_its_classes(tmp_path) -> None:
    now = [START]
    gateway, recorder = life(tmp_path, now)
    gateway.unit_ms[0] = 42.0
    recorder.refused(9, 0, 2, START + 500)
    write(recorder)
    gateway, _ = life(tmp_path, now)
    assert gateway.unit_ms == [42.0] and gateway.mean_work_ms == 42.0


def test_a_newcomer_is_not_overwritten_and_an_unknown_plan_is_left_out() -> None:
    gateway = Gateway(SETTINGS, 1)
    gateway.handle(START, request(1, customer=5))
    before = gateway.customers[5]
    gateway.handle(
        START,
        StateRestored([CustomerSnapshot(5, 0, 2, [], 1.0), CustomerSnapshot(6, 4, 2, [], 1.0)], [1.0, 2.0]),
    )
    assert gateway.customers[5] is before and 6 not in gateway.customers and len(gateway.unit_ms) == 1


# ---- faults of the disk and of files


def test_a_refused_snapshot_is_set_aside_for_good(tmp_path) -> None:
    now, logged = [START], []
    gateway, recorder = life(tmp_path, now)
    ask(gateway, recorder, now[0], 1)
    recorder.refused(9, 0, 2, START + 9_000)
    write(recorder)
    now[0] -= 60_000  # the clock stepped back
    _, second = life(tmp_path, now, logged)
    assert [e for e, f in logged] == ["recovery.snapshot_refused"] and "future" in logged[0][1]["reason"]
    assert second.counts["restored"] == 0 and not files.read(second.path.read_bytes())[1]
    assert second.path.with_suffix(".refused").exists()
    now[0] += 61_000
    _, third = life(tmp_path, now)
    assert third.counts["restored"] == 0


@pytest.mark.parametrize("data", [b"", b"\x00" * 50, b"PK\x03\x04"])
def test_a_file_that_is_no_snapshot(tmp_path, data) -> None:
    logged = []
    (tmp_path / "recovery-0.snap").write_bytes(data)
    _, recorder = life(tmp_path, [START], logged)
    assert logged[0][0] == "recovery.snapshot_refused" and recorder.journal >= 0


def test_a_full_disk_loses_the_snapshot_and_not_the_journal(tmp_path) -> None:
    now, logged = [START], []
    gateway, recorder = life(tmp_path, now, logged)
    recorder.refused(9, 0, 2, START + 9_000)
    recorder.flush()
    write(recorder)
    for customer in range(3000):
        gateway.handle(now[0], request(customer + 10, customer=customer))
        recorder.refused(customer, 0, 2, START + 9_000)
    recorder.flush()
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (20_000, hard))  # the kernel's own error, as on a full disk
    try:
        write(recorder)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    assert recorder.counts["failed"] == 1 and "recovery.snapshot_failed" in [e for e, _ in logged]
    assert not list(tmp_path.glob("*.new")) and len(recorder.tracked) >= 3000
    _, second = life(tmp_path, now)
    assert second.counts["restored"] == 3000


def test_a_journal_that_cannot_be_written_takes_the_snapshot_with_it(tmp_path) -> None:
    now, logged = [START], []
    gateway, recorder = life(tmp_path, now, logged)
    ask(gateway, recorder, now[0], 1)
    recorder.refused(9, 0, 2, START + 9_000)
    write(recorder)
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (1, hard))
    try:
        for _ in range(4):
            recorder.spent(9, 0, 2, 1.0)
            recorder.flush()
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    assert recorder.counts["journal_lost"] == 1 and not list(tmp_path.glob("recovery-0*"))
    gateway, second = life(tmp_path, now)
    gateway.handle(now[0], request(50))
    assert second.counts["restored"] == 0 and gateway.customers[9].cap_tokens <= 0  # a ceiling starts empty
    recorder.refused(9, 0, 2, START + 9_000)
    write(recorder)  # there is room again
    assert recorder.counts["snapshots"] == 2 and recorder.path.exists()


def test_a_restarted_gateway_goes_on_with_its_queue(rig, tmp_path) -> None:
    plans = [{"name": "open", "rate": 0.001, "burst": 1}]
    first = rig(instance={"state_dir": str(tmp_path)}, plans=plans)
    waits = [
        int(a.headers["tamarind-retry-after-ms"]) for a in (first.ask() for _ in range(6)) if a.status == 429
    ]
    assert waits == sorted(waits)
    until = first.ingress.steady.now() + waits[-1]
    first.ingress.recorder.close = lambda: None  # killed, not stopped
    first.ingress.stop()
    second = rig(instance={"state_dir": str(tmp_path)}, plans=plans)
    again = [second.ask() for _ in range(3)]
    backs = [
        second.ingress.steady.now() + int(a.headers["tamarind-retry-after-ms"])
        for a in again
        if a.status == 429
    ]
    assert backs and min(backs) > until
    second.ingress.recorder.close()
    header, rows = files.read((tmp_path / "recovery-0.snap").read_bytes())
    assert header.last and len(rows) == 1


@pytest.mark.parametrize("away", [False, True])
def test_a_restarted_gateway_listens_once_the_feed_has_told_what_became_of_its_saved_list(
    rig, tmp_path, away
) -> None:
    instance = {"state_dir": str(tmp_path)}
    first = rig(instance=instance)
    first.ingress.stop()
    lost = {"feed": "127.0.0.1:9", "first_list_ms": 20} if away else {"first_list_ms": 60_000}
    second = rig(instance=instance, fleet=lost)  # other servers
    named = {backend_id(*split_address(server.address, "")) for server in (first if away else second).servers}
    assert set(second.ingress.core.fleet) == named
    assert any(event == "fleet.first_line_awaited_in_vain" for event, _ in second.logged) is away


# ---- standing still


def test_what_was_sent_before_a_standstill_blames_nobody() -> None:
    for still in (False, True):
        gateway = Gateway(made_settings(), 1)
        gateway.handle(START, fleet(1, 2))
        (sent,) = gateway.handle(START, request(1))
        if still:
            gateway.handle(START + 2000, GatewayStalled(2000.0))
        gateway.handle(START + 2000, AttemptEnded(1, 0, sent.backend, Outcome.TIMEOUT, 2000.0, False))
        slow = gateway.backends[sent.backend].slowness[0].value
        assert (slow == 1.0) is still
        assert not gateway.backends[sent.backend].outstanding


def test_silence_is_counted_from_the_awakening() -> None:
    gateway = Gateway(made_settings(), 1)
    gateway.handle(START, fleet(1))
    gateway.handle(START, request(1))
    call = next(iter(gateway.calls.values()))
    backend = gateway.backends[1]
    assert gateway.forecast(START + 3000, backend, call, 1.0) > 2000
    gateway.handle(START + 3000, GatewayStalled(3000.0))
    assert gateway.forecast(START + 3000, backend, call, 1.0) < 2000


def test_news_go_before_all_that_lay_there_after_a_standstill(rig, monkeypatch) -> None:
    monkeypatch.setattr(
        "tamarindfold.ingress.core.RESUME_DELAY_S", 3600.0
    )  # the test says when the moment is over
    r = rig(servers=2)
    core, seen = r.ingress.core, []
    real = core.gateway.handle
    core.gateway.handle = lambda now, event: seen.append(event) or real(now, event)
    drained = r.servers[0]
    entry = next(e for e in core.fleet.values() if e.backend & 0xFFFF == drained.server.server_port)
    core.last_turn_ms -= 5_000  # as after SIGSTOP
    job = gevent.spawn(r.ask)
    wait_for(lambda: core.counts["arrived"])
    assert not any(isinstance(e, RequestArrived) for e in seen) and not core.resumed.is_set()
    core.update_fleet(FleetUpdate(ListKind.CHANGES, [replace(entry, state=BackendState.DRAINING)]))
    assert [type(e) for e in seen] == [GatewayStalled, FleetUpdate]
    core.resumed.set()
    core._process_events()
    assert job.get().status == 200
    kinds = [type(e) for e in seen]
    assert kinds.index(GatewayStalled) < kinds.index(FleetUpdate) < kinds.index(RequestArrived)
    assert not drained.ledger.of("received") and core.counts["stalls"] == 1


def test_what_passed_its_deadline_in_a_standstill_is_answered_and_not_sent(rig) -> None:
    r = rig()
    core = r.ingress.core
    start = core.sender.start

    def stand_still(exchange, *rest):
        exchange.give_up_ms = core.clock() - 1  # its time passed while we stood
        start(exchange, *rest)

    core.sender.start = stand_still
    answer = r.ask("/switches", "POST")
    assert (answer.status, answer.outcome) == (503, "refused") and not r.entries("received")


# ---- background work


def drive(scheduler: Scheduler, until: float, cost: dict[str, float]) -> tuple[list[str], float]:
    """Simulated time: each slice takes its job's cost; gives the order and the time that was used."""
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


def test_background_work_keeps_to_its_part_of_the_time() -> None:
    scheduler = Scheduler(0.05)
    scheduler.add(Job("big", slices(100_000), 10.0), 0.0)
    _, used = drive(scheduler, 10_000.0, {"big": 3.0})
    assert used <= 0.05 * 10_000 + 20 + 3 and used > 0.04 * 10_000


def test_higher_priorities_first_and_none_starves() -> None:
    scheduler = Scheduler(0.5)
    low = scheduler.add(Job("low", slices(3), 1.0, 0), 0.0)
    scheduler.add(Job("high", slices(10**9), 1.0, 3), 0.0)
    order, _ = drive(scheduler, 20_000.0, {"low": 2.0, "high": 2.0})
    assert order[:50].count("low") == 0 and order.count("low") >= 4
    assert low.runs >= 1 and order.count("high") > 20 * order.count("low")


def test_a_job_that_fails_is_begun_anew_and_told() -> None:
    scheduler = Scheduler(1.0)

    def work():
        yield
        raise ValueError("full")

    job = scheduler.add(Job("bad", work, 5.0), 0.0)
    assert scheduler.next(0.0) == (None, 5.0) and scheduler.next(5.0)[0] is job
    assert scheduler.run(job, lambda: 5.0) is None
    assert str(scheduler.run(job, lambda: 6.0)) == "full"
    assert (job.failed, job.work, job.due_ms) == (1, None, 11.0)
    with pytest.raises(ValueError, match="part"):
        Scheduler(0)


def test_nothing_to_do_waits_for_ever() -> None:
    assert Scheduler(1.0).next(0.0) == (None, float("inf"))
