"""Cooperative scheduling of background work by priority and within a time budget. No I/O, clock or threads.

A job is a generator that yields after each slice of its work. It yields the milliseconds for which it has to
wait for something else, or None. The caller runs one slice at a time beside the request path and measures it.
All jobs together may use `time_fraction` of the time; a slice that exceeds the budget is followed by a pause
that makes up for it. The priority of a waiting job rises with time, so that none starves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf

PRIORITY_AGING_MS = 1_000.0  # a waiting job rises by one priority level in this time


@dataclass(slots=True, eq=False)
class Job:
    """A periodic job, started again `interval_ms` after its last run ended."""

    name: str
    begin: Callable[[], Iterator[float | None]]
    interval_ms: float
    priority: int = 0  # higher values run first
    due_ms: float = 0.0  # when the next slice may run
    iterator: Iterator[float | None] | None = None  # the current run; None between runs
    runs: int = 0
    slices: int = 0
    failed: int = 0
    longest_slice_ms: float = 0.0
    total_ms: float = 0.0


class Scheduler:
    """Selects the job whose slice runs next, and when."""

    def __init__(self, time_fraction: float, max_saved_ms: float = 20.0) -> None:
        """time_fraction: above 0 and at most 1; max_saved_ms: bound on the budget saved while idle."""
        if not 0 < time_fraction <= 1:
            raise ValueError(f"time_fraction: {time_fraction!r} is not above 0 and at most 1")
        self.time_fraction, self.max_saved_ms = time_fraction, max_saved_ms
        self.jobs: list[Job] = []
        self.saved_ms, self.refilled_at = max_saved_ms, -inf

    def add(self, job: Job, now: float) -> Job:
        """Add a job; its first run is due one interval from now."""
        job.due_ms = now + job.interval_ms
        self.jobs.append(job)
        return job

    def _refill(self, now: float) -> None:
        if self.refilled_at > -inf:
            self.saved_ms = min(
                self.max_saved_ms, self.saved_ms + (now - self.refilled_at) * self.time_fraction
            )
        self.refilled_at = now

    def next(self, now: float) -> tuple[Job | None, float]:
        """The job to run now, or None and the time to wait in milliseconds (inf without any job)."""
        self._refill(now)
        ready = [job for job in self.jobs if job.due_ms <= now]
        if not ready:
            return None, min((job.due_ms - now for job in self.jobs), default=inf)
        if self.saved_ms <= 0:
            return None, -self.saved_ms / self.time_fraction + 1e-3
        return max(ready, key=lambda job: job.priority + (now - job.due_ms) / PRIORITY_AGING_MS), 0.0

    def run(self, job: Job, clock: Callable[[], float]) -> BaseException | None:
        """Run and time one slice. Returns the error that ended the run, if any; a later run starts afresh."""
        started, pause_ms = clock(), 0.0
        failure: BaseException | None = None
        try:
            if job.iterator is None:
                job.iterator = iter(job.begin())
            pause_ms = next(job.iterator) or 0.0
        except StopIteration:
            job.iterator = None
            job.runs += 1
        except Exception as error:
            job.iterator = None
            job.failed += 1
            failure = error
        now = clock()
        elapsed_ms = max(0.0, now - started)
        self.saved_ms -= elapsed_ms
        job.slices += 1
        job.total_ms += elapsed_ms
        job.longest_slice_ms = max(job.longest_slice_ms, elapsed_ms)
        job.due_ms = now + (pause_ms if job.iterator is not None else job.interval_ms)
        return failure
