"""Runs background jobs a slice at a time beside the request path (ds.scheduler decides which and when)."""

from __future__ import annotations

import time
from collections.abc import Callable, Generator, Iterator

import gevent

from tamarindfold.ds.scheduler import Job, Scheduler

LEAST_PAUSE_S = 0.0005
MOST_PAUSE_S = 0.25


def precise_ms() -> float:
    """For timing slices."""
    return time.perf_counter() * 1000


class Background:
    """One greenlet for all jobs."""

    def __init__(self, part: float, log: Callable[..., None]) -> None:
        self.scheduler, self.log = Scheduler(part), log
        self._greenlet: gevent.Greenlet | None = None

    def add(
        self,
        name: str,
        begin: Callable[[], Iterator[float | None] | None],
        every_ms: float,
        priority: int = 0,
    ) -> Job:
        """A job: `begin` gives an iterator of slices, or does it all at once and gives None."""

        def work() -> Iterator[float | None]:
            slices = begin()
            if slices is not None:
                yield from slices

        return self.scheduler.add(Job(name, work, every_ms, priority), precise_ms())

    def start(self) -> None:
        """From now on jobs are run."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """A job in the midst of its work is ended there."""
        if self._greenlet is not None:
            self._greenlet.kill()
        for job in self.scheduler.jobs:
            if isinstance(job.work, Generator):
                job.work.close()
            job.work = None

    def _run(self) -> None:
        while True:
            job, wait_ms = self.scheduler.next(precise_ms())
            if job is None:
                gevent.sleep(min(MOST_PAUSE_S, max(LEAST_PAUSE_S, wait_ms / 1000)))
                continue
            fault = self.scheduler.run(job, precise_ms)
            if fault is not None:
                self.log("background.failed", job=job.name, reason=f"{type(fault).__name__}: {fault}")
            # a timer, so that the loop looks at its sockets: sleep(0) in a row kept them waiting for 10 ms
            gevent.sleep(LEAST_PAUSE_S)

    def counts(self) -> dict[str, dict[str, float]]:
        """By job: runs, slices, the longest slice and the whole time in milliseconds."""
        return {
            job.name: {
                "runs": job.runs,
                "slices": job.slices,
                "failed": job.failed,
                "longest_ms": round(job.longest_ms, 3),
                "took_ms": round(job.took_ms, 1),
            }
            for job in self.scheduler.jobs
        }
