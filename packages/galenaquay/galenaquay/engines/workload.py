"""Tracks the load of every endpoint, as far as this VM knows it.

Requests that this VM has sent are tracked one by one. Requests of other VMs
are known only as sums for each endpoint, from the reports of those VMs.
"""

import asyncio
from collections.abc import Callable, Container, Iterable, Mapping
import contextlib
import dataclasses
import time
from typing import Final

from .. import ids

# Time for which a number of running requests that an endpoint reported with an
# answer is used, in seconds.
REPORTED_RUNNING_VALID_S: Final = 0.4
# Prefill time from which a job is reported to other VMs at once, in seconds.
URGENT_PREFILL_S: Final = 0.12
# Largest share of a prompt that is assumed to be prefilled before its first
# event has arrived.
MAX_PROGRESS_SHARE: Final = 0.9


@dataclasses.dataclass
class Job:
    """One request, or one part of a prompt, at one endpoint."""

    # Prefill time of the prompt or part, in seconds.
    prefill_s: float
    # Largest amount of KV cache that the job will hold, in tokens.
    memory_tokens: int
    # Longest pause between two events that the caller accepts, in seconds.
    max_gap_s: float
    # Value of the answer to the caller, see `placement.answer_value`.
    value: float
    # Time to the first event that the caller expects, in seconds.
    target_s: float
    started_at_s: float
    # Whether the prefill has not ended yet.
    is_prefilling: bool = True
    # Whether the job prefills a part of a prompt for a request at another
    # endpoint.
    is_helper_part: bool = False


@dataclasses.dataclass(frozen=True)
class DecodingGroup:
    """The decoding requests whose callers accept the same longest pause."""

    # Longest pause between two events that the callers accept, in seconds.
    max_gap_s: float
    count: int
    # Sum of the values of the answers.
    value: float


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """Sums over the requests at one endpoint."""

    # Number of requests, without prompt parts of requests at other endpoints.
    running: int = 0
    # Time until all pending prefills have ended, in seconds.
    prefill_s: float = 0.0
    # Largest amount of KV cache that the requests will hold, in tokens.
    memory_tokens: int = 0
    decoding_groups: tuple[DecodingGroup, ...] = ()
    # Number of prompt parts of requests at other endpoints.
    helper_parts: int = 0
    # Sum of value / target time over all pending prefills, per second.
    prefill_urgency: float = 0.0

    @property
    def decoding(self) -> int:
        """The number of decoding requests."""
        return sum(group.count for group in self.decoding_groups)


@dataclasses.dataclass(frozen=True)
class PeerLoads:
    """The loads that a peer has reported; never changed afterwards."""

    heard_at_s: float
    # Time for which the loads are counted, in seconds.
    valid_s: float
    by_id: Mapping[ids.EndpointId, EndpointLoad]


class _LoadSum:
    """Adds up the loads of one endpoint."""

    def __init__(self) -> None:
        self._running = 0
        self._prefill_s = 0.0
        self._memory_tokens = 0
        self._groups: list[DecodingGroup] = []
        self._helper_parts = 0
        self._prefill_urgency = 0.0

    def add(self, load: EndpointLoad, age_s: float) -> None:
        """Adds a load that was known some time ago."""
        self._running += load.running
        self._prefill_s += max(0.0, load.prefill_s - age_s)
        self._memory_tokens += load.memory_tokens
        self._groups += load.decoding_groups
        self._helper_parts += load.helper_parts
        self._prefill_urgency += load.prefill_urgency

    def total(self) -> EndpointLoad:
        """Returns the sum."""
        return EndpointLoad(
            self._running,
            self._prefill_s,
            self._memory_tokens,
            merge_decoding_groups(self._groups),
            self._helper_parts,
            self._prefill_urgency,
        )


class Workload:
    """The known requests at all endpoints."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._jobs_by_endpoint: dict[ids.EndpointId, list[Job]] = {}
        self._loads_by_peer: dict[ids.VmId, PeerLoads] = {}
        self._reported_running: dict[ids.EndpointId, tuple[float, int]] = {}
        # When each endpoint last finished the prefill of a job of this VM.
        self._prefilled_at_s: dict[ids.EndpointId, float] = {}
        # Number of changes to this VM's own jobs.
        self.changes = 0
        # Number of those changes that are reported to other VMs at once.
        self.urgent_changes = 0
        # Number of own jobs that have ended.
        self.ended = 0
        self._changed = asyncio.Event()

    def now_s(self) -> float:
        """Returns the time of the clock that `Job.started_at_s` refers to."""
        return self._clock()

    def add(self, endpoint_id: ids.EndpointId, job: Job) -> None:
        """Adds a job that is being sent to an endpoint."""
        self._jobs_by_endpoint.setdefault(endpoint_id, []).append(job)
        self.note_change(job)

    def remove(self, endpoint_id: ids.EndpointId, job: Job) -> None:
        """Removes a job that has ended."""
        jobs = self._jobs_by_endpoint.get(endpoint_id, [])
        jobs[:] = [other for other in jobs if other is not job]
        if not jobs:
            self._jobs_by_endpoint.pop(endpoint_id, None)
            self._prefilled_at_s.pop(endpoint_id, None)
        self.ended += 1
        self.note_change(job)

    def note_prefilled(self, endpoint_id: ids.EndpointId, job: Job) -> None:
        """Records that the prefill of a job has ended.

        A prompt part that holds no KV cache afterwards is removed.
        """
        job.is_prefilling = False
        self._prefilled_at_s[endpoint_id] = self._clock()
        if job.is_helper_part and not job.memory_tokens:
            self.remove(endpoint_id, job)
        else:
            self.note_change(job)

    def note_change(self, job: Job) -> None:
        """Counts a change to a job and wakes the tasks waiting for changes."""
        self.changes += 1
        if job.prefill_s >= URGENT_PREFILL_S:
            self.urgent_changes += 1
        self._wake()

    def note_urgent_change(self) -> None:
        """Has a report sent to other VMs at once."""
        self.changes += 1
        self.urgent_changes += 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_urgent_change(self, urgent_changes: int) -> None:
        """Waits until `self.urgent_changes` differs from the given count."""
        while self.urgent_changes == urgent_changes:
            await self._changed.wait()

    async def wait_for_change(self, changes: int) -> None:
        """Waits until `self.changes` differs from the given count."""
        while self.changes == changes:
            await self._changed.wait()

    async def wait_for_end(self, ended: int, timeout_s: float) -> None:
        """Waits until `self.ended` differs from the given count.

        Args:
            ended: The count.
            timeout_s: Longest time to wait, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.ended == ended:
                    await self._changed.wait()

    def record_reported_running(
        self, endpoint_id: ids.EndpointId, running: int
    ) -> None:
        """Records the number of running requests that an endpoint reported."""
        self._reported_running[endpoint_id] = (self._clock(), running)

    def replace_peer_loads(
        self,
        peer: ids.VmId,
        loads: Mapping[ids.EndpointId, EndpointLoad],
        valid_s: float,
    ) -> None:
        """Replaces the loads that a peer reported earlier.

        Args:
            peer: The VM, or the group of VMs, that the loads belong to.
            loads: The peer's loads by endpoint.
            valid_s: Time for which the loads are counted, in seconds.
        """
        self._loads_by_peer[peer] = PeerLoads(self._clock(), valid_s, loads)

    def own_loads(self) -> dict[ids.EndpointId, EndpointLoad]:
        """Returns the load that this VM's own jobs cause, by endpoint."""
        now_s = self._clock()
        return {
            endpoint_id: _total_load(
                jobs, self._prefilled_at_s.get(endpoint_id, 0.0), now_s
            )
            for endpoint_id, jobs in self._jobs_by_endpoint.items()
        }

    def peer_loads(self, peer: ids.VmId) -> PeerLoads | None:
        """Returns what a peer has reported last; None if it has not."""
        return self._loads_by_peer.get(peer)

    def peer_loads_age_s(self) -> float | None:
        """Returns the age of the oldest loads that count; None if none do."""
        now_s = self._clock()
        ages_s = [
            now_s - loads.heard_at_s
            for loads in self._loads_by_peer.values()
            if now_s - loads.heard_at_s <= loads.valid_s
        ]
        return round(max(ages_s), 4) if ages_s else None

    def all_peer_loads(self) -> dict[ids.VmId, PeerLoads]:
        """Returns what each peer has reported last."""
        return dict(self._loads_by_peer)

    def loads_excluding(
        self,
        excluded_peers: Container[ids.VmId],
        endpoint_ids: Iterable[ids.EndpointId] | None = None,
    ) -> dict[ids.EndpointId, EndpointLoad]:
        """Returns the load from all jobs except those of the given peers.

        Args:
            excluded_peers: The peers whose jobs are left out.
            endpoint_ids: The endpoints to sum up; None sums up all. Endpoints
                without a job are left out of the result.
        """
        now_s = self._clock()
        wanted = None if endpoint_ids is None else list(endpoint_ids)
        sums_by_id: dict[ids.EndpointId, _LoadSum] = {}
        reports: list[tuple[float, Mapping[ids.EndpointId, EndpointLoad]]]
        reports = [(0.0, self.own_loads())]
        reports += [
            (now_s - peer_loads.heard_at_s, peer_loads.by_id)
            for peer, peer_loads in self._loads_by_peer.items()
            if peer not in excluded_peers
            and now_s - peer_loads.heard_at_s <= peer_loads.valid_s
        ]
        for age_s, loads in reports:
            for endpoint_id in loads if wanted is None else wanted:
                load = loads.get(endpoint_id)
                if load is None:
                    continue
                load_sum = sums_by_id.get(endpoint_id)
                if load_sum is None:
                    load_sum = sums_by_id[endpoint_id] = _LoadSum()
                load_sum.add(load, age_s)
        return {
            endpoint_id: load_sum.total()
            for endpoint_id, load_sum in sums_by_id.items()
        }

    def loads(self) -> dict[ids.EndpointId, EndpointLoad]:
        """Returns the load from the jobs of all VMs, by endpoint."""
        now_s = self._clock()
        merged = self.loads_excluding(())
        for endpoint_id, (at_s, running) in self._reported_running.items():
            load = merged.get(endpoint_id, EndpointLoad())
            if (
                now_s - at_s < REPORTED_RUNNING_VALID_S
                and running > load.running
            ):
                merged[endpoint_id] = dataclasses.replace(
                    load, running=running
                )
        return merged


def merge_decoding_groups(
    groups: Iterable[DecodingGroup],
) -> tuple[DecodingGroup, ...]:
    """Merges groups with the same longest accepted pause."""
    groups = tuple(groups)
    if len(groups) < 2:
        return groups
    counts: dict[float, int] = {}
    values: dict[float, float] = {}
    for group in groups:
        gap_s = group.max_gap_s
        counts[gap_s] = counts.get(gap_s, 0) + group.count
        values[gap_s] = values.get(gap_s, 0.0) + group.value
    return tuple(
        DecodingGroup(gap_s, counts[gap_s], values[gap_s])
        for gap_s in sorted(counts)
    )


def _remaining_prefill_s(
    pending: list[Job], prefilled_at_s: float, now_s: float
) -> float:
    """Estimates the time until all pending prefills have ended, in seconds.

    An engine prefills one prompt after the other, so only the job that started
    first can have made progress. Delays of that job by requests of other VMs
    are not known and are left out.

    Args:
        pending: The jobs whose prefill has not ended.
        prefilled_at_s: When the endpoint last finished a prefill.
        now_s: The current time.
    """
    if not pending:
        return 0.0
    first = min(pending, key=lambda job: job.started_at_s)
    elapsed_s = now_s - max(first.started_at_s, prefilled_at_s)
    progress_s = min(elapsed_s, first.prefill_s * MAX_PROGRESS_SHARE)
    return sum(job.prefill_s for job in pending) - progress_s


def _total_load(
    jobs: list[Job], prefilled_at_s: float, now_s: float
) -> EndpointLoad:
    return EndpointLoad(
        sum(not job.is_helper_part for job in jobs),
        _remaining_prefill_s(
            [job for job in jobs if job.is_prefilling], prefilled_at_s, now_s
        ),
        sum(job.memory_tokens for job in jobs),
        merge_decoding_groups(
            DecodingGroup(job.max_gap_s, 1, job.value)
            for job in jobs
            if not job.is_prefilling and not job.is_helper_part
        ),
        sum(job.is_helper_part for job in jobs),
        sum(job.value / job.target_s for job in jobs if job.is_prefilling),
    )
