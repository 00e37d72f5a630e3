"""Chooses the engines that read a prompt, or the endpoint of a plain call.

A prompt goes where callers lose least: the one who sent it by waiting, those
whose answers are being written there by the pause while it is read. Reading a
long prompt on several engines at once shortens both.
"""

import dataclasses
import math
import random
from typing import Final

from .. import ids
from ..configuration import routes
from ..engines import directory as directory_module
from ..engines import reliability as reliability_module
from ..engines import workload as workload_module
from ..limits import cold_starts as cold_starts_module
from ..ports import exchange
from . import reading
from . import short_set

# Engines that may read one prompt together.
GROUP_SIZES: Final = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Share of an engine's memory above which a prompt that several engines read is
# also held by all of them: others would wait for the memory until its end.
HELD_ALONE_SHARE: Final = 0.45
# Share of an engine's memory that one part of a prompt may take.
MAX_PART_SHARE: Final = 0.8
# A prompt that is read faster than this is not divided, in seconds.
MIN_DIVIDED_READ_S: Final = 0.06
# Prompt tokens that are worth as much to a caller as having an answer at all.
TOKENS_PER_VALUE: Final = 10_000
# Share of an answer's value that is lost if it is late.
LATE_LOSS: Final = 0.75
# Where waiting begins to be late, and how sharply, in shares of the target.
LATE_AT: Final = 0.85
LATE_WIDTH: Final = 0.12
# The same for pauses between events, in shares of the longest pause.
GAP_AT: Final = 0.88
GAP_WIDTH: Final = 0.06
# What waiting costs before it is late, in shares of the value at the target.
WAIT_LOSS: Final = 0.05
# Share of an answer's value that is lost if its prompt's reading is put off by
# the whole target, as a part that is read for another engine does.
PUT_OFF_LOSS: Final = 0.4
# What a second of an engine's reading costs others who may come.
READ_COST_PER_S: Final = 0.25
# What each further engine costs, and the share of what its failing would cost
# if it were alone: the prompt is then read again, in time more often than not.
HELPER_COST: Final = 0.02
HELPER_RISK: Final = 0.3
# What another zone costs, in shares of the value, for the bytes between zones.
OTHER_ZONE_COST: Final = 0.01
# What it costs to send a short prompt to an engine that long ones are read
# on, and to read a long one where short ones are kept together.
OUTSIDE_SET_COST: Final = 0.05
INSIDE_SET_COST: Final = 2.0
# What it costs that all slots of an engine are taken.
CROWD_COST: Final = 0.04
# Engines for short prompts that one such prompt chooses among, and what it
# costs to go to any other: with facts that are late for everybody, the best of
# all would be chosen by many at once.
DRAWN_ENGINES: Final = 2
NOT_DRAWN_COST: Final = 0.1
# Random part of each estimate, so that VMs with the same facts differ.
NOISE: Final = 0.02


@dataclasses.dataclass(frozen=True)
class Placement:
    """Where a request goes and what is expected of it."""

    endpoint: directory_module.Endpoint
    helpers: tuple[directory_module.Endpoint, ...] = ()
    # Time that each of the engines reads, in seconds.
    read_s: float = 0.0
    # Time to the first event, in seconds.
    first_event_s: float = 0.0
    loss: float = 0.0
    # Memory that each of the engines has to hold, in tokens; 0 if the first
    # holds everything.
    part_tokens: int = 0
    # Time from the first event to the last, in seconds.
    write_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Candidate:
    endpoint: directory_module.Endpoint
    load: workload_module.EndpointLoad
    pace: float
    pass_s: float
    # Time until it begins to read, in seconds.
    wait_s: float
    # What choosing it costs however much it reads.
    base_loss: float
    # Memory that nothing is known to hold, in tokens.
    free_tokens: int
    # Requests that it runs at once.
    slots: int
    # Whether short prompts are kept together there.
    is_for_shorts: bool
    # Whether it is one of those that a short prompt chooses among.
    is_drawn: bool

    def set_loss(self, is_short: bool) -> float:
        """Returns what keeping short and long prompts apart costs here."""
        if is_short:
            outside = 0.0 if self.is_for_shorts else OUTSIDE_SET_COST
            if not self.is_drawn:
                outside += NOT_DRAWN_COST
            return outside + CROWD_COST * self.load.running / self.slots
        return INSIDE_SET_COST if self.is_for_shorts else 0.0


def value_of(prompt_tokens: int) -> float:
    """Returns what an answer is worth to its caller, by the work in it."""
    return 1 + prompt_tokens / TOKENS_PER_VALUE


def _logistic(x: float) -> float:
    return 1 / (1 + math.exp(-max(-30.0, min(30.0, x))))


def _wait_loss(first_event_s: float, target_s: float) -> float:
    ratio = first_event_s / target_s
    late = LATE_LOSS * _logistic((ratio - LATE_AT) / LATE_WIDTH)
    return late + WAIT_LOSS * ratio


def _gap_loss(gap_s: float, load: workload_module.EndpointLoad) -> float:
    return sum(
        group.value
        * LATE_LOSS
        * _logistic((gap_s / group.max_gap_s - GAP_AT) / GAP_WIDTH)
        for group in load.writers
    )


class Placer:
    """Places requests on what is known of endpoints at the moment."""

    def __init__(
        self,
        directory: directory_module.Directory,
        workload: workload_module.Workload,
        reliability: reliability_module.Reliability,
        cold_starts: cold_starts_module.ColdStarts,
        zone: ids.ZoneName,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._workload = workload
        self._reliability = reliability
        self._cold_starts = cold_starts
        self._zone = zone
        self._rng = rng

    def _usable(
        self,
        service: routes.Service,
        excluded: frozenset[ids.EndpointId],
    ) -> list[directory_module.Endpoint]:
        usable = self._directory.usable(service.name)
        kept = [e for e in usable if e.id not in excluded]
        return [e for e in kept if self._bears(service, e)]

    def _bears(
        self, service: routes.Service, endpoint: directory_module.Endpoint
    ) -> bool:
        if not service.cold_per_s or not self._directory.is_cold(endpoint):
            return True
        return self._cold_starts.may_send(endpoint.id, service.cold_per_s)

    def place_call(
        self,
        service: routes.Service,
        excluded: frozenset[ids.EndpointId],
    ) -> Placement | None:
        """Returns the endpoint that is least busy and fails least."""
        loads = self._workload.loads()
        best: Placement | None = None
        for endpoint in self._usable(service, excluded):
            load = loads.get(endpoint.id, workload_module.EndpointLoad())
            loss = (
                (load.running + 1) / max(1, endpoint.slots)
            ) * self._reliability.pace(endpoint.id) + self._base_loss(endpoint)
            if best is None or loss < best.loss:
                best = Placement(endpoint, loss=loss)
        return best

    def _draw(
        self, endpoints: list[directory_module.Endpoint]
    ) -> set[ids.EndpointId]:
        """Returns some engines at random, of this VM's zone if it has any."""
        near = [e for e in endpoints if e.zone == self._zone]
        drawn = near or endpoints
        count = min(DRAWN_ENGINES, len(drawn))
        return {endpoint.id for endpoint in self._rng.sample(drawn, count)}

    def _base_loss(self, endpoint: directory_module.Endpoint) -> float:
        loss = self._reliability.failure_chance(endpoint.id)
        loss += self._rng.uniform(0, NOISE)
        if endpoint.zone != self._zone:
            loss += OTHER_ZONE_COST
        return loss

    def place_prompt(
        self,
        request: exchange.Request,
        route: routes.Route,
        service: routes.Service,
        times: routes.EngineTimes,
        excluded: frozenset[ids.EndpointId],
    ) -> Placement | None:
        """Returns the engines on which callers lose least together."""
        candidates = self._candidates(service, times, excluded)
        alone_s = reading.read_s(times, request.prompt_tokens)
        sizes = GROUP_SIZES if alone_s > MIN_DIVIDED_READ_S else (1,)
        best: Placement | None = None
        for size in sizes:
            if size > len(candidates):
                break
            placement = self._place_on(
                size, candidates, alone_s / size, request, route, times
            )
            if placement is not None and (
                best is None or placement.loss < best.loss
            ):
                best = placement
        return best

    def _candidates(
        self,
        service: routes.Service,
        times: routes.EngineTimes,
        excluded: frozenset[ids.EndpointId],
    ) -> list[_Candidate]:
        loads = self._workload.loads()
        found = []
        usable = self._usable(service, excluded)
        for_shorts = short_set.engines_for_shorts(usable, loads, times.slots)
        drawn = self._draw([e for e in usable if e.id in for_shorts])
        for endpoint in usable:
            load = loads.get(endpoint.id, workload_module.EndpointLoad())
            pace = self._reliability.pace(endpoint.id)
            one_pass_s = reading.pass_s(times, load) * pace
            wait_s = (
                load.read_s * pace
                + reading.slot_wait_s(times, load) * pace
                + (one_pass_s / 2 if load.writing else 0.0)
            )
            found.append(
                _Candidate(
                    endpoint,
                    load,
                    pace,
                    one_pass_s,
                    wait_s,
                    self._base_loss(endpoint),
                    times.memory_tokens - load.memory_tokens,
                    times.slots,
                    endpoint.id in for_shorts,
                    endpoint.id in drawn,
                )
            )
        return found

    def _place_on(
        self,
        size: int,
        candidates: list[_Candidate],
        read_s: float,
        request: exchange.Request,
        route: routes.Route,
        times: routes.EngineTimes,
    ) -> Placement | None:
        value = value_of(request.prompt_tokens)
        is_short = size == 1 and read_s <= MIN_DIVIDED_READ_S
        needed = request.prompt_tokens + request.answer_tokens
        part_tokens = 0
        held_alone_tokens = times.memory_tokens
        if size > 1:
            held_alone_tokens = int(times.memory_tokens * HELD_ALONE_SHARE)
        if needed > held_alone_tokens:
            part_tokens = needed // size + 1
            if part_tokens > times.memory_tokens * MAX_PART_SHARE:
                return None
            candidates = [
                c for c in candidates if c.free_tokens >= part_tokens
            ]
            if len(candidates) < size:
                return None

        def loss_at(candidate: _Candidate) -> float:
            own_read_s = read_s * candidate.pace
            gap_s = (
                candidate.load.read_s * candidate.pace
                + own_read_s
                + candidate.pass_s
            )
            first_s = candidate.wait_s + own_read_s + candidate.pass_s
            return (
                _gap_loss(gap_s, candidate.load)
                + value * _wait_loss(first_s, route.target_s)
                + value * candidate.base_loss
                + candidate.set_loss(is_short)
                + PUT_OFF_LOSS * own_read_s * candidate.load.read_urgency
            )

        ranked = sorted((loss_at(c), i) for i, c in enumerate(candidates))
        holds_tokens = part_tokens or needed
        first = next(
            (
                i
                for _, i in ranked
                if candidates[i].free_tokens >= holds_tokens
            ),
            None,
        )
        if first is None:
            return None
        others = [i for _, i in ranked if i != first][: size - 1]
        chosen = [candidates[i] for i in (first, *others)]
        ready_s = max(c.wait_s + read_s * c.pace for c in chosen)
        first_event_s = ready_s + chosen[0].pass_s
        loss = value * _wait_loss(first_event_s, route.target_s)
        for candidate in chosen:
            gap_s = (
                candidate.load.read_s + read_s
            ) * candidate.pace + candidate.pass_s
            loss += _gap_loss(gap_s, candidate.load)
            loss += candidate.set_loss(is_short)
        loss += value * chosen[0].base_loss
        for candidate in chosen[1:]:
            loss += value * candidate.base_loss * HELPER_RISK
            put_off_s = read_s * candidate.pace
            loss += PUT_OFF_LOSS * put_off_s * candidate.load.read_urgency
        loss += READ_COST_PER_S * read_s * size
        loss += HELPER_COST * (size - 1)
        return Placement(
            chosen[0].endpoint,
            tuple(candidate.endpoint for candidate in chosen[1:]),
            read_s,
            first_event_s,
            loss,
            part_tokens,
            reading.passes(
                times,
                request.answer_hint_tokens
                or request.answer_tokens
                or times.usual_answer_tokens,
            )
            * chosen[0].pass_s,
        )

    def note_sent(self, service: routes.Service, placement: Placement) -> None:
        """Counts a request that is sent to an endpoint in cold start."""
        for endpoint in (placement.endpoint, *placement.helpers):
            if service.cold_per_s and self._directory.is_cold(endpoint):
                self._cold_starts.count(endpoint.id, service.cold_per_s)
