"""What every endpoint is doing, as far as this VM can tell.

Exact for the requests that this VM has sent; peers add sums for theirs.
"""

import asyncio
from collections.abc import Callable, Container, Iterable
import dataclasses
import time
from typing import Final

from .. import ids

# Time after which what an endpoint said in an answer is forgotten, seconds.
HINT_AGE_S: Final = 0.4
# Reading time of a prompt that others should learn of at once, in seconds.
URGENT_READ_S: Final = 0.12
# Share of a prompt that is at most taken for read before its first event.
MAX_PROGRESS_SHARE: Final = 0.9


@dataclasses.dataclass
class Job:
    """One request, or one part of a prompt, at one endpoint."""

    # Time that reading its prompt takes there, in seconds.
    read_s: float
    # Memory that it will hold there at most, in tokens.
    memory_tokens: int
    # Longest pause between two events that its caller accepts, in seconds.
    max_gap_s: float
    # What its caller loses if it is late.
    value: float
    # Time to the first event that its caller expects, in seconds.
    target_s: float
    started_at_s: float
    is_reading: bool = True
    # A part that is read for a request at another endpoint.
    is_help: bool = False


@dataclasses.dataclass(frozen=True)
class Writers:
    """Requests that are being written, by the pause that they bear."""

    max_gap_s: float
    count: int
    # Sum of what their callers lose if they are late.
    value: float


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """Sums over the requests at one endpoint."""

    # Requests there, without parts that are read for others.
    running: int = 0
    # Time until everything that waits to be read has been, in seconds.
    read_s: float = 0.0
    memory_tokens: int = 0
    writers: tuple[Writers, ...] = ()
    # Parts that are read for requests at other endpoints.
    helping: int = 0
    # Sum over what is to be read of value / target, a second.
    read_urgency: float = 0.0

    @property
    def writing(self) -> int:
        """Requests that are being written."""
        return sum(group.count for group in self.writers)


class Workload:
    """All requests that are known to be at endpoints."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._jobs_by_endpoint: dict[ids.EndpointId, list[Job]] = {}
        self._loads_by_peer: dict[
            ids.VmId, tuple[float, float, dict[ids.EndpointId, EndpointLoad]]
        ] = {}
        self._hints: dict[ids.EndpointId, tuple[float, int]] = {}
        # When an endpoint last finished reading one of this VM's prompts.
        self._read_at_s: dict[ids.EndpointId, float] = {}
        # Counts what has changed in this VM's own jobs.
        self.changes = 0
        # Counts those that others should learn of at once.
        self.urgent_changes = 0
        self._changed = asyncio.Event()

    def now_s(self) -> float:
        """Returns the time on the clock that jobs are held to."""
        return self._clock()

    def add(self, endpoint_id: ids.EndpointId, job: Job) -> None:
        """Notes that a job was sent."""
        self._jobs_by_endpoint.setdefault(endpoint_id, []).append(job)
        self.note_change(job)

    def remove(self, endpoint_id: ids.EndpointId, job: Job) -> None:
        """Notes that a job has ended."""
        jobs = self._jobs_by_endpoint.get(endpoint_id, [])
        jobs[:] = [other for other in jobs if other is not job]
        if not jobs:
            self._jobs_by_endpoint.pop(endpoint_id, None)
            self._read_at_s.pop(endpoint_id, None)
        self.note_change(job)

    def note_read(self, endpoint_id: ids.EndpointId, job: Job) -> None:
        """Notes that a job's prompt has been read."""
        job.is_reading = False
        self._read_at_s[endpoint_id] = self._clock()
        if job.is_help and not job.memory_tokens:
            self.remove(endpoint_id, job)
        else:
            self.note_change(job)

    def note_change(self, job: Job) -> None:
        """Wakes whoever tells others of the jobs."""
        self.changes += 1
        if job.read_s >= URGENT_READ_S:
            self.urgent_changes += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_urgent_change(self, urgent_changes: int) -> None:
        """The same for changes that others should learn of at once."""
        while self.urgent_changes == urgent_changes:
            await self._changed.wait()

    async def wait_for_change(self, changes: int) -> None:
        """Returns when there are changes beyond those counted so far."""
        while self.changes == changes:
            await self._changed.wait()

    def hint(self, endpoint_id: ids.EndpointId, running: int) -> None:
        """Notes what an endpoint said of its own load."""
        self._hints[endpoint_id] = (self._clock(), running)

    def hear(
        self,
        peer: ids.VmId,
        loads: dict[ids.EndpointId, EndpointLoad],
        valid_s: float,
    ) -> None:
        """Takes a peer's sums over, in place of its last ones.

        Args:
            peer: Who has told them.
            loads: Its sums.
            valid_s: Time for which they are counted, in seconds.
        """
        self._loads_by_peer[peer] = (self._clock(), valid_s, loads)

    def own_loads(self) -> dict[ids.EndpointId, EndpointLoad]:
        """Returns the sums over this VM's own jobs."""
        now_s = self._clock()
        return {
            endpoint_id: _sum_of(
                jobs, self._read_at_s.get(endpoint_id, 0.0), now_s
            )
            for endpoint_id, jobs in self._jobs_by_endpoint.items()
        }

    def loads_but_of(
        self, left_out: Container[ids.VmId]
    ) -> dict[ids.EndpointId, EndpointLoad]:
        """Returns the sums over all jobs but those that some have told."""
        now_s = self._clock()
        merged = self.own_loads()
        for peer, (heard_at_s, valid_s, loads) in self._loads_by_peer.items():
            age_s = now_s - heard_at_s
            if age_s > valid_s or peer in left_out:
                continue
            for endpoint_id, load in loads.items():
                merged[endpoint_id] = merge(
                    merged.get(endpoint_id, EndpointLoad()),
                    dataclasses.replace(
                        load, read_s=max(0.0, load.read_s - age_s)
                    ),
                )
        return merged

    def loads(self) -> dict[ids.EndpointId, EndpointLoad]:
        """Returns the sums over everybody's jobs."""
        now_s = self._clock()
        merged = self.loads_but_of(())
        for endpoint_id, (at_s, running) in self._hints.items():
            load = merged.get(endpoint_id, EndpointLoad())
            if now_s - at_s < HINT_AGE_S and running > load.running:
                merged[endpoint_id] = dataclasses.replace(
                    load, running=running
                )
        return merged


def merge(one: EndpointLoad, two: EndpointLoad) -> EndpointLoad:
    """Adds two sums up."""
    return EndpointLoad(
        one.running + two.running,
        one.read_s + two.read_s,
        one.memory_tokens + two.memory_tokens,
        group_writers([*one.writers, *two.writers]),
        one.helping + two.helping,
        one.read_urgency + two.read_urgency,
    )


def group_writers(groups: Iterable[Writers]) -> tuple[Writers, ...]:
    """Adds up the groups that bear the same pause."""
    counts: dict[float, int] = {}
    values: dict[float, float] = {}
    for group in groups:
        gap_s = group.max_gap_s
        counts[gap_s] = counts.get(gap_s, 0) + group.count
        values[gap_s] = values.get(gap_s, 0.0) + group.value
    return tuple(
        Writers(gap_s, counts[gap_s], values[gap_s])
        for gap_s in sorted(counts)
    )


def _read_left_s(reading: list[Job], done_at_s: float, now_s: float) -> float:
    """Returns the time until all prompts have been read, in seconds.

    Only the first can have got on, since the engine reads one after the
    other; how far the others' requests have delayed it is not known.
    """
    if not reading:
        return 0.0
    first = min(reading, key=lambda job: job.started_at_s)
    elapsed_s = now_s - max(first.started_at_s, done_at_s)
    progress_s = min(elapsed_s, first.read_s * MAX_PROGRESS_SHARE)
    return sum(job.read_s for job in reading) - progress_s


def _sum_of(jobs: list[Job], done_at_s: float, now_s: float) -> EndpointLoad:
    return EndpointLoad(
        sum(not job.is_help for job in jobs),
        _read_left_s(
            [job for job in jobs if job.is_reading], done_at_s, now_s
        ),
        sum(job.memory_tokens for job in jobs),
        group_writers(
            Writers(job.max_gap_s, 1, job.value)
            for job in jobs
            if not job.is_reading and not job.is_help
        ),
        sum(job.is_help for job in jobs),
        sum(job.value / job.target_s for job in jobs if job.is_reading),
    )
