"""The timing wheel compared with a plain list."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tamarindfold.ds.wheel import TimerWheel

steps = st.lists(
    st.tuples(
        st.sampled_from(["schedule", "cancel", "advance"]),
        st.one_of(st.floats(0, 50), st.floats(0, 5000), st.floats(0, 3e6), st.floats(0, 1e11)),
    ),
    max_size=60,
)


@settings(max_examples=200, deadline=None)
@given(steps, st.floats(0, 2e12))
def test_timers_fire_once_never_early_and_at_most_one_slot_late(script, start) -> None:
    wheel = TimerWheel(start, 4.0)
    now, numbers = start, iter(range(1000))
    pending: dict[int, tuple[float, object]] = {}
    for operation, amount in script:
        if operation == "schedule":
            number = next(numbers)
            pending[number] = now + amount, wheel.schedule(now + amount, lambda number=number: number)
        elif operation == "cancel" and pending:
            number = list(pending)[int(amount) % len(pending)]
            wheel.cancel(pending.pop(number)[1])
        elif operation == "advance":
            now += min(amount, 2e6)
            for timer in wheel.advance(now):
                due, _ = pending.pop(timer.callback())
                assert due <= now
            # Timers due a slot ago have fired; one set in the past fires at the next advance.
            assert all(due > now - 8.0 for due, _ in pending.values())
        assert wheel.count == len(pending)


def test_cancelling_a_fired_or_cancelled_timer_has_no_effect() -> None:
    wheel = TimerWheel(0.0)
    timer = wheel.schedule(10, lambda: None)
    assert wheel.advance(20) == [timer]
    wheel.cancel(timer)
    wheel.cancel(timer)
    assert wheel.count == 0
