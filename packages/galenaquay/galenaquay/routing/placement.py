"""Chooses the engines that prefill a prompt, or a plain service's endpoint.

The placement with the lowest estimated loss is chosen. The loss covers the
waiting time of the request's own caller and the pauses that the prefill causes
in answers being generated on the same engines. Splitting the prefill of a long
prompt over several engines shortens both.

Losses of prompts are in units of answer value (see `answer_value`), except
where a constant is given as a share of the value.
"""

from collections.abc import Iterator, Mapping
import dataclasses
import random
from typing import Final

from .. import ids
from ..configuration import routes
from ..engines import directory as directory_module
from ..engines import reliability as reliability_module
from ..engines import workload as workload_module
from . import kept_engines
from ..limits import availability as availability_module
from ..limits import endpoint_rates
from . import losses
from ..ports import exchange
from . import short_set
from . import step_times

# Numbers of engines that are considered for the prefill of one prompt.
GROUP_SIZES: Final = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Share of an engine's KV cache above which a prompt that several engines
# prefill is also stored on all of them. Stored on one engine, such a prompt
# would keep other requests waiting for KV cache until its request ends.
SINGLE_ENGINE_MEMORY_SHARE: Final = 0.45
# Share of an engine's KV cache that one part of a prompt may take.
MAX_PART_SHARE: Final = 0.8
# A prompt is not split if one engine prefills it within this time, in
# seconds. Such a prompt counts as short.
MIN_SPLIT_PREFILL_S: Final = 0.06
# Prompt tokens that add one unit to the value of an answer.
TOKENS_PER_VALUE_UNIT: Final = 10_000
# Share of an answer's value that is lost if the prefill of its prompt is
# delayed by its whole target time. Prefilling a part of another engine's
# prompt causes such a delay.
PREFILL_DELAY_LOSS: Final = 0.4
# Cost of one second of an engine's prefill time to requests that arrive later.
PREFILL_COST_PER_S: Final = 0.25
# Cost of each engine in addition to the first.
HELPER_COST: Final = 0.02
# Expected loss from the failure of a helper engine, relative to the loss from
# the failure of the first engine. After a helper has failed the prompt is
# prefilled again, usually still in time.
HELPER_FAILURE_SHARE: Final = 0.3
# Share of the value charged for an endpoint in another zone, because of the
# traffic between zones.
OTHER_ZONE_COST: Final = 0.01
# Cost of placing a short prompt on an engine that is not reserved for short
# prompts.
SHORT_OUTSIDE_SET_COST: Final = 0.05
# Cost of placing a long prompt on an engine reserved for short prompts.
LONG_INSIDE_SET_COST: Final = 2.0
# The same in a pool with priority classes, if the part of the prompt leaves
# short prompts enough time.
GENTLE_INSIDE_SET_COST: Final = 0.3
# Cost for a short prompt if all slots of an engine are taken; proportional to
# the share of slots taken.
OCCUPANCY_COST: Final = 0.04
# Number of engines for short prompts that are sampled for each short prompt,
# and the cost of an engine outside the sample. All VMs see load data that is
# out of date; without sampling many of them would choose the same best engine
# at once.
SAMPLED_ENGINES: Final = 2
NOT_SAMPLED_COST: Final = 0.1
# Upper bound of the random term in each loss estimate, so that VMs with the
# same load data choose different engines.
MAX_RANDOM_LOSS: Final = 0.02


@dataclasses.dataclass(frozen=True)
class Placement:
    """The endpoints chosen for a request, with the estimated times."""

    endpoint: directory_module.Endpoint
    helpers: tuple[directory_module.Endpoint, ...] = ()
    # Prefill time on each of the engines, in seconds.
    prefill_s: float = 0.0
    # Time to the first event, in seconds.
    first_event_s: float = 0.0
    loss: float = 0.0
    # KV cache that each of the engines has to provide, in tokens; 0 if the
    # first engine holds the whole prompt and answer.
    part_tokens: int = 0
    # Time from the first event to the last, in seconds.
    decode_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Candidate:
    endpoint: directory_module.Endpoint
    load: workload_module.EndpointLoad
    # Factor by which the engine is slower than expected.
    slowdown: float
    # Time of one decode pass, in seconds.
    decode_pass_s: float
    # Time until the engine starts the prefill, in seconds.
    wait_s: float
    # Loss from choosing the engine, whatever the length of the prompt.
    base_loss: float
    # KV cache that no known request holds, in tokens.
    free_tokens: int
    # Requests that the engine runs at once.
    slots: int
    # Whether the engine is reserved for short prompts.
    is_for_short_prompts: bool
    # Whether the engine is in the random sample for short prompts.
    is_sampled: bool

    def may_prefill(
        self, prefill_s: float, keep: kept_engines.KeepRule
    ) -> bool:
        """Returns whether the engine may prefill a part of a prompt."""
        return keep.allows(
            self.load,
            prefill_s * self.slowdown,
            self.decode_pass_s,
            is_kept=self.is_for_short_prompts,
        )

    def segregation_loss(
        self,
        is_short: bool,
        prefill_s: float,
        keep: kept_engines.KeepRule | None,
    ) -> float:
        """Returns the loss that keeps short and long prompts apart."""
        if is_short:
            outside = (
                0.0 if self.is_for_short_prompts else SHORT_OUTSIDE_SET_COST
            )
            if not self.is_sampled:
                outside += NOT_SAMPLED_COST
            return outside + OCCUPANCY_COST * self.load.running / self.slots
        if not self.is_for_short_prompts:
            return 0.0
        if keep is not None and keep.is_gentle(
            self.load, prefill_s * self.slowdown, self.decode_pass_s
        ):
            return GENTLE_INSIDE_SET_COST
        return LONG_INSIDE_SET_COST


def answer_value(prompt_tokens: int) -> float:
    """Returns the value of an answer to its caller, by prompt length."""
    return 1 + prompt_tokens / TOKENS_PER_VALUE_UNIT


class Placer:
    """Places requests by the latest known load and state of endpoints."""

    def __init__(
        self,
        directory: directory_module.Directory,
        availability: availability_module.Availability,
        workload: workload_module.Workload,
        reliability: reliability_module.Reliability,
        rates: endpoint_rates.EndpointRates,
        zone: ids.ZoneName,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._availability = availability
        self._workload = workload
        self._reliability = reliability
        self._rates = rates
        self._zone = zone
        self._rng = rng

    def _usable_endpoints(
        self,
        service: routes.Service,
        excluded: frozenset[ids.EndpointId],
    ) -> list[directory_module.Endpoint]:
        usable = self._availability.available(service.name)
        kept = [e for e in usable if e.id not in excluded]
        return [
            e
            for e in kept
            if self._rates.may_send(e.id, self._cold_per_s(service, e))
        ]

    def _cold_per_s(
        self, service: routes.Service, endpoint: directory_module.Endpoint
    ) -> float:
        """Returns the limit by cold start, 0 if the endpoint has none."""
        return service.cold_per_s if self._directory.is_cold(endpoint) else 0.0

    def place_call(
        self,
        service: routes.Service,
        excluded: frozenset[ids.EndpointId],
    ) -> Placement | None:
        """Chooses the endpoint of a plain service for one call.

        The loss combines the endpoint's load, slowdown and failure rate.
        """
        loads = self._workload.loads()
        best: Placement | None = None
        for endpoint in self._usable_endpoints(service, excluded):
            load = loads.get(endpoint.id, workload_module.EndpointLoad())
            loss = (
                (load.running + 1) / max(1, endpoint.slots)
            ) * self._reliability.slowdown(endpoint.id) + self._base_loss(
                endpoint
            )
            if best is None or loss < best.loss:
                best = Placement(endpoint, loss=loss)
        return best

    def _sample(
        self, endpoints: list[directory_module.Endpoint]
    ) -> set[ids.EndpointId]:
        """Samples engines at random, from this VM's zone if it has any."""
        local = [e for e in endpoints if e.zone == self._zone]
        population = local or endpoints
        count = min(SAMPLED_ENGINES, len(population))
        return {
            endpoint.id for endpoint in self._rng.sample(population, count)
        }

    def _base_loss(self, endpoint: directory_module.Endpoint) -> float:
        loss = self._reliability.failure_chance(endpoint.id)
        loss += self._rng.uniform(0, MAX_RANDOM_LOSS)
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
        keep: kept_engines.KeepRule | None = None,
    ) -> Placement | None:
        """Chooses the engines with the lowest estimated loss for a prompt.

        The loss sums over this request's caller and the callers of the
        requests that already run on the engines.

        Args:
            request: The request with the prompt.
            route: The route of the request.
            service: The pool.
            times: The timing model of the engines.
            excluded: Engines that are left out.
            keep: Which engines may prefill parts of the prompt; None if the
                pool has no priority classes.
        """
        loads = self._workload.loads()
        usable = self._usable_endpoints(service, excluded)
        candidates = self._candidates(usable, times, loads, loads, keep)
        return min(
            self._options(candidates, request, route, times, keep),
            key=lambda placement: placement.loss,
            default=None,
        )

    def estimate_idle(
        self,
        request: exchange.Request,
        route: routes.Route,
        service: routes.Service,
        times: routes.EngineTimes,
        excluded: frozenset[ids.EndpointId],
        keep: kept_engines.KeepRule,
    ) -> kept_engines.IdleEstimate | None:
        """Estimates the times of a prompt on idle engines.

        Limits on the rate of requests are left out, since they allow another
        request soon.

        Returns:
            The estimate; None if no engine could ever serve the request.
        """
        loads = self._workload.loads()
        available = [
            endpoint
            for endpoint in self._availability.available(service.name)
            if endpoint.id not in excluded
        ]
        idle = self._candidates(available, times, loads, {}, keep)
        outside = [c for c in idle if not c.is_for_short_prompts]
        options = list(self._options(idle, request, route, times, None))
        if not options:
            return None
        usual = min(
            list(self._options(outside, request, route, times, None))
            or options,
            key=lambda placement: placement.loss,
        )
        return kept_engines.IdleEstimate(
            usual.first_event_s,
            min(placement.first_event_s for placement in options),
            usual.decode_s,
        )

    def _options(
        self,
        candidates: list[_Candidate],
        request: exchange.Request,
        route: routes.Route,
        times: routes.EngineTimes,
        keep: kept_engines.KeepRule | None,
    ) -> Iterator[Placement]:
        """Yields the best placement for each number of engines."""
        single_s = step_times.prefill_s(times, request.prompt_tokens)
        sizes = GROUP_SIZES if single_s > MIN_SPLIT_PREFILL_S else (1,)
        for size in sizes:
            prefill_s = single_s / size
            allowed = candidates
            if keep is not None:
                allowed = [
                    c for c in candidates if c.may_prefill(prefill_s, keep)
                ]
            if size > len(allowed):
                continue
            placement = self._place_on(
                size, allowed, prefill_s, request, route, times, keep
            )
            if placement is not None:
                yield placement

    def _candidates(
        self,
        usable: list[directory_module.Endpoint],
        times: routes.EngineTimes,
        known_loads: Mapping[ids.EndpointId, workload_module.EndpointLoad],
        loads: Mapping[ids.EndpointId, workload_module.EndpointLoad],
        keep: kept_engines.KeepRule | None,
    ) -> list[_Candidate]:
        """Returns the engines that a prompt may be placed on.

        Args:
            usable: The engines.
            times: The timing model of the engines.
            known_loads: The loads by which engines for short prompts are
                selected.
            loads: The loads that the candidates have.
            keep: As in `place_prompt`.
        """
        candidates = []
        short_ids = short_set.engines_for_short_prompts(
            usable,
            known_loads,
            times.slots,
            keep.first_class_pause_s if keep else None,
        )
        if keep is not None and len(short_ids) == len(usable):
            # A pool of few engines has none for long prompts only.
            short_ids = frozenset()
        sampled_ids = self._sample([e for e in usable if e.id in short_ids])
        for endpoint in usable:
            load = loads.get(endpoint.id, workload_module.EndpointLoad())
            slowdown = self._reliability.slowdown(endpoint.id)
            decode_pass_s = step_times.decode_pass_s(times, load) * slowdown
            # On average, a running decode pass is half done.
            wait_s = (
                load.prefill_s * slowdown
                + step_times.slot_wait_s(times, load) * slowdown
                + (decode_pass_s / 2 if load.decoding else 0.0)
            )
            candidates.append(
                _Candidate(
                    endpoint,
                    load,
                    slowdown,
                    decode_pass_s,
                    wait_s,
                    self._base_loss(endpoint),
                    times.memory_tokens - load.memory_tokens,
                    times.slots,
                    endpoint.id in short_ids,
                    endpoint.id in sampled_ids,
                )
            )
        return candidates

    def _place_on(
        self,
        size: int,
        candidates: list[_Candidate],
        prefill_s: float,
        request: exchange.Request,
        route: routes.Route,
        times: routes.EngineTimes,
        keep: kept_engines.KeepRule | None,
    ) -> Placement | None:
        value = answer_value(request.prompt_tokens)
        is_short = size == 1 and prefill_s <= MIN_SPLIT_PREFILL_S
        needed_tokens = request.prompt_tokens + request.max_output_tokens
        part_tokens = 0
        single_engine_tokens = times.memory_tokens
        if size > 1:
            single_engine_tokens = int(
                times.memory_tokens * SINGLE_ENGINE_MEMORY_SHARE
            )
        if needed_tokens > single_engine_tokens:
            part_tokens = needed_tokens // size + 1
            if part_tokens > times.memory_tokens * MAX_PART_SHARE:
                return None
            candidates = [
                c for c in candidates if c.free_tokens >= part_tokens
            ]
            if len(candidates) < size:
                return None

        def loss_at(candidate: _Candidate) -> float:
            own_prefill_s = prefill_s * candidate.slowdown
            gap_s = (
                candidate.load.prefill_s * candidate.slowdown
                + own_prefill_s
                + candidate.decode_pass_s
            )
            first_event_s = (
                candidate.wait_s + own_prefill_s + candidate.decode_pass_s
            )
            return (
                losses.gap_loss(gap_s, candidate.load)
                + value * losses.wait_loss(first_event_s, route.target_s)
                + value * candidate.base_loss
                + candidate.segregation_loss(is_short, prefill_s, keep)
                + PREFILL_DELAY_LOSS
                * own_prefill_s
                * candidate.load.prefill_urgency
            )

        ranked = sorted((loss_at(c), i) for i, c in enumerate(candidates))
        first_engine_tokens = part_tokens or needed_tokens
        first = next(
            (
                i
                for _, i in ranked
                if candidates[i].free_tokens >= first_engine_tokens
            ),
            None,
        )
        if first is None:
            return None
        helpers = [i for _, i in ranked if i != first][: size - 1]
        chosen = [candidates[i] for i in (first, *helpers)]
        prefilled_s = max(c.wait_s + prefill_s * c.slowdown for c in chosen)
        first_event_s = prefilled_s + chosen[0].decode_pass_s
        loss = value * losses.wait_loss(first_event_s, route.target_s)
        for candidate in chosen:
            gap_s = (
                candidate.load.prefill_s + prefill_s
            ) * candidate.slowdown + candidate.decode_pass_s
            loss += losses.gap_loss(gap_s, candidate.load)
            loss += candidate.segregation_loss(is_short, prefill_s, keep)
        loss += value * chosen[0].base_loss
        for candidate in chosen[1:]:
            loss += value * candidate.base_loss * HELPER_FAILURE_SHARE
            delay_s = prefill_s * candidate.slowdown
            loss += (
                PREFILL_DELAY_LOSS * delay_s * candidate.load.prefill_urgency
            )
        loss += PREFILL_COST_PER_S * prefill_s * size
        loss += HELPER_COST * (size - 1)
        return Placement(
            chosen[0].endpoint,
            tuple(candidate.endpoint for candidate in chosen[1:]),
            prefill_s,
            first_event_s,
            loss,
            part_tokens,
            step_times.decode_passes(
                times,
                request.expected_output_tokens
                or request.max_output_tokens
                or times.typical_answer_tokens,
            )
            * chosen[0].decode_pass_s,
        )

    def is_cold(self, endpoint: directory_module.Endpoint) -> bool:
        """Returns whether an endpoint is in cold start."""
        return self._directory.is_cold(endpoint)

    def note_sent(self, service: routes.Service, placement: Placement) -> None:
        """Counts a sent request against the limits of its endpoints.

        A part of a prompt counts at its engine like a request.
        """
        for endpoint in (placement.endpoint, *placement.helpers):
            self._rates.record_sent(
                endpoint.id, self._cold_per_s(service, endpoint)
            )
