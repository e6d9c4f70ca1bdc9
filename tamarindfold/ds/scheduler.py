"""Background work in slices, by priority and within a budget. No I/O, no clock, no threads.

A job is a generator that yields after each slice of its work, with the milliseconds that it has to wait for
something else, or None. Whoever drives it runs one slice at a time
beside the request path and says how long that took. All jobs together may take `part` of the time; what a
slice took beyond that is paid back by waiting. A job that waits rises in priority, so none starves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf

AGE_MS = 1_000.0  # a waiting job rises by one priority in this time


@dataclass(slots=True, eq=False)
class Job:
    """One kind of work, begun anew every `every_ms` after its last end."""

    name: str
    begin: Callable[[], Iterator[float | None]]
    every_ms: float
    priority: int = 0  # the higher the sooner
    due_ms: float = 0.0  # of its next slice
    work: Iterator[float | None] | None = None
    runs: int = 0
    slices: int = 0
    failed: int = 0
    longest_ms: float = 0.0
    took_ms: float = 0.0


class Scheduler:
    """Picks which job's slice comes next, and when."""

    def __init__(self, part: float, most_saved_ms: float = 20.0) -> None:
        """part: of the time, from above 0 to 1; most_saved_ms: budget that quiet times may save up."""
        if not 0 < part <= 1:
            raise ValueError(f"part: {part!r} is not above 0 and at most 1")
        self.part, self.most_saved_ms = part, most_saved_ms
        self.jobs: list[Job] = []
        self.saved_ms, self.filled_at = most_saved_ms, -inf

    def add(self, job: Job, now: float) -> Job:
        """A job, first due its time after now."""
        job.due_ms = now + job.every_ms
        self.jobs.append(job)
        return job

    def _fill(self, now: float) -> None:
        if self.filled_at > -inf:
            self.saved_ms = min(self.most_saved_ms, self.saved_ms + (now - self.filled_at) * self.part)
        self.filled_at = now

    def next(self, now: float) -> tuple[Job | None, float]:
        """The job whose slice is to run now; else None and how long to wait, inf where there is no job."""
        self._fill(now)
        ready = [job for job in self.jobs if job.due_ms <= now]
        if not ready:
            return None, min((job.due_ms - now for job in self.jobs), default=inf)
        if self.saved_ms <= 0:
            return None, -self.saved_ms / self.part + 1e-3
        return max(ready, key=lambda job: job.priority + (now - job.due_ms) / AGE_MS), 0.0

    def run(self, job: Job, clock: Callable[[], float]) -> BaseException | None:
        """One slice, timed. Gives the fault that ended the job's turn, if any: it is begun anew later."""
        began, pause_ms = clock(), 0.0
        fault: BaseException | None = None
        try:
            if job.work is None:
                job.work = iter(job.begin())
            pause_ms = next(job.work) or 0.0
        except StopIteration:
            job.work = None
            job.runs += 1
        except Exception as error:
            job.work = None
            job.failed += 1
            fault = error
        now = clock()
        took = max(0.0, now - began)
        self.saved_ms -= took
        job.slices += 1
        job.took_ms += took
        job.longest_ms = max(job.longest_ms, took)
        job.due_ms = now + (pause_ms if job.work is not None else job.every_ms)
        return fault
