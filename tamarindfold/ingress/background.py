"""Runs background jobs in short slices beside the request path; `ds.scheduler` decides which runs when."""

from __future__ import annotations

import time
from collections.abc import Callable, Generator, Iterator

import gevent

from tamarindfold.ds.scheduler import Job, Scheduler

MIN_PAUSE_S = 0.0005
MAX_PAUSE_S = 0.25


def precise_ms() -> float:
    """A high-resolution time in milliseconds, for measuring slices."""
    return time.perf_counter() * 1000


class Background:
    """Runs all background jobs in one greenlet."""

    def __init__(self, time_fraction: float, log: Callable[..., None]) -> None:
        """time_fraction: the share of the time that all jobs together may use."""
        self.scheduler, self.log = Scheduler(time_fraction), log
        self._greenlet: gevent.Greenlet | None = None

    def add(
        self,
        name: str,
        begin: Callable[[], Iterator[float | None] | None],
        interval_ms: float,
        priority: int = 0,
    ) -> Job:
        """Add a job; `begin` returns an iterator over its slices, or does all the work and returns None."""

        def work() -> Iterator[float | None]:
            slices = begin()
            if slices is not None:
                yield from slices

        return self.scheduler.add(Job(name, work, interval_ms, priority), precise_ms())

    def start(self) -> None:
        """Start running jobs."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop; a job between two slices is closed there."""
        if self._greenlet is not None:
            self._greenlet.kill()
        for job in self.scheduler.jobs:
            if isinstance(job.iterator, Generator):
                job.iterator.close()
            job.iterator = None

    def _run(self) -> None:
        while True:
            job, wait_ms = self.scheduler.next(precise_ms())
            if job is None:
                gevent.sleep(min(MAX_PAUSE_S, max(MIN_PAUSE_S, wait_ms / 1000)))
                continue
            error = self.scheduler.run(job, precise_ms)
            if error is not None:
                self.log("background.failed", job=job.name, reason=f"{type(error).__name__}: {error}")
            # A timer makes the loop poll its sockets; repeated sleep(0) kept them waiting for 10 ms.
            gevent.sleep(MIN_PAUSE_S)

    def counts(self) -> dict[str, dict[str, float]]:
        """By job: completed runs, slices, failures, the longest slice and the total time in milliseconds."""
        return {
            job.name: {
                "runs": job.runs,
                "slices": job.slices,
                "failed": job.failed,
                "longest_ms": round(job.longest_slice_ms, 3),
                "took_ms": round(job.total_ms, 1),
            }
            for job in self.scheduler.jobs
        }
