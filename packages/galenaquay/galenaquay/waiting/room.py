"""Holds the requests of this VM that wait for capacity.

Each pool has a queue. `order` sorts it, and `decision` says of each request
whether it is placed, goes on waiting, or is rejected. Nothing is reserved for
a request while it waits.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import functools
import logging
import random
from typing import Final

from .. import ids
from .. import tasks
from .. import telemetry
from . import decision
from ..engines import workload as workload_module
from . import order
from ..routing import placement as placement_module
from . import sums as sums_module

LOG: Final = logging.getLogger(__name__)
# Largest number of requests that wait at this VM, and largest size of their
# bodies together, in bytes.
MAX_REQUESTS: Final = 512
MAX_BODY_BYTES: Final = 64 * 1024 * 1024
# Shortest and longest average time between two rounds in which waiting
# requests are tried, in seconds.
MIN_ROUND_S: Final = 0.1
MAX_ROUND_S: Final = 0.4
# Average time between two rounds of all VMs together, in seconds, as far as
# MAX_ROUND_S permits. VMs that try at the same time choose the same engines,
# since each learns of the other's choice later.
FLEET_ROUND_S: Final = 0.02
# Bounds of the random factor of the time between two rounds.
MIN_RANDOM_FACTOR: Final = 0.5
MAX_RANDOM_FACTOR: Final = 1.5
# Largest number of requests that a round considers, and for which it computes
# a placement. A placement on 70 engines takes some 4 ms of processor time.
MAX_CONSIDERED: Final = 32
MAX_TRIES: Final = 2

Place = Callable[[decision.Engines], placement_module.Placement | None]


@dataclasses.dataclass(frozen=True)
class Rejection:
    """Why a request has left the queue without a placement."""

    reason: str


Outcome = placement_module.Placement | Rejection


@dataclasses.dataclass(eq=False)
class Waiter:
    """A request that may wait."""

    request_id: ids.RequestId
    service: ids.ServiceName
    need: order.Need
    body_bytes: int
    # Computes the best placement of the request now.
    place: Place
    # Why the request waits, as decided last.
    reason: str = ''
    # Number of decisions, and the estimate of the last one in seconds.
    tries: int = 0
    first_event_s: float | None = None


class Room:
    """The queues of this VM."""

    def __init__(
        self,
        workload: workload_module.Workload,
        sums: sums_module.WaitingSums,
        refresh_loads: Callable[[], Awaitable[None]],
        metrics: telemetry.TextMetrics,
        rng: random.Random,
    ) -> None:
        self._workload = workload
        self._sums = sums
        # Gets the present loads of endpoints, or gives up soon.
        self._refresh_loads = refresh_loads
        self._metrics = metrics
        self._rng = rng
        self._results_by_service: dict[
            ids.ServiceName, dict[Waiter, asyncio.Future[Outcome]]
        ] = {}
        self._tasks_by_service: dict[ids.ServiceName, asyncio.Task[None]] = {}
        self._known_classes: set[ids.PriorityClass] = set()
        self._closed_reason = ''

    def close(self, reason: str) -> None:
        """Rejects all waiting requests, and those that would wait later."""
        self._closed_reason = reason
        for results in self._results_by_service.values():
            for result in results.values():
                _set(result, Rejection(reason))

    def has_waiting(
        self, service: ids.ServiceName, priority_class: ids.PriorityClass
    ) -> bool:
        """Returns whether requests of a class of a pool wait at this VM."""
        return any(
            waiter.need.priority_class == priority_class
            for waiter in self._results_by_service.get(service, ())
        )

    def lengths(self) -> dict[ids.PriorityClass, int]:
        """Returns the number of waiting requests by class."""
        lengths = dict.fromkeys(self._known_classes, 0)
        for results in self._results_by_service.values():
            for waiter in results:
                lengths[waiter.need.priority_class] += 1
        return lengths

    def decide(
        self, waiter: Waiter, now_s: float
    ) -> placement_module.Placement | decision.Decision:
        """Tries to place a request that has just arrived."""
        key = order.sort_key(waiter.need, now_s)
        ahead = [
            other.need
            for other in self._results_by_service.get(waiter.service, ())
            if order.sort_key(other.need, now_s) < key
        ]
        return self._try(waiter, ahead, now_s)

    async def wait(self, waiter: Waiter) -> Outcome:
        """Waits until a request is placed or rejected.

        A cancelled task takes its request out of the queue at once.
        """
        loop = asyncio.get_running_loop()
        need = waiter.need
        began_at_s = loop.time()
        key = (waiter.service, need.priority_class)
        results = self._results_by_service.setdefault(waiter.service, {})
        ahead = len(results)
        result: asyncio.Future[Outcome] = loop.create_future()
        results[waiter] = result
        self._known_classes.add(need.priority_class)
        self._sums.add(key, need.prefill_s)
        outcome: Outcome | None = None
        try:
            if self._closed_reason:
                return Rejection(self._closed_reason)
            self._reject_excess()
            self._start_rounds(waiter.service)
            outcome = await result
            return outcome
        finally:
            del results[waiter]
            self._sums.remove(key, need.prefill_s)
            self._note_end(waiter, outcome, loop.time() - began_at_s, ahead)

    def _try(
        self, waiter: Waiter, ahead: list[order.Need], now_s: float
    ) -> placement_module.Placement | decision.Decision:
        need = waiter.need
        engines = decision.usable_engines(need, now_s)
        gives_way = self._sums.has_more_urgent(
            waiter.service, need.aged_class(now_s)
        )
        is_behind = order.is_behind(need, ahead, now_s)
        placement = None
        # Without a placement the decision is known if the request waits for
        # others.
        is_due = need.priority_class and engines is decision.Engines.ANY
        if is_due or not (gives_way or is_behind):
            placement = waiter.place(engines)
        decided = decision.decide(
            need,
            now_s,
            placement.first_event_s if placement else None,
            gives_way=gives_way,
            is_behind=is_behind,
        )
        waiter.tries += 1
        waiter.reason = decided.reason or waiter.reason
        waiter.first_event_s = placement.first_event_s if placement else None
        if decided.action is decision.Action.PLACE and placement is not None:
            return placement
        return decided

    def _start_rounds(self, service: ids.ServiceName) -> None:
        task = self._tasks_by_service.get(service)
        if task is None or task.done():
            self._tasks_by_service[service] = tasks.start_lasting(
                functools.partial(self._run_rounds, service),
                f'queue of {service}',
            )

    async def _run_rounds(self, service: ids.ServiceName) -> None:
        """Tries the requests of a pool until none waits."""
        results = self._results_by_service[service]
        while results:
            await self._pause(service)
            if results:
                await self._refresh_loads()
                self._run_round(results)

    async def _pause(self, service: ids.ServiceName) -> None:
        """Waits for the next round.

        The time is random and grows with the requests that wait in the fleet.
        The end of a job of this VM shortens it.
        """
        ended = self._workload.ended
        waiting = sum(
            waiting_sum.requests
            for key, waiting_sum in self._sums.sums_excluding(()).items()
            if key[0] == service
        )
        average_s = min(MAX_ROUND_S, max(MIN_ROUND_S, waiting * FLEET_ROUND_S))
        pause_s = average_s * self._rng.uniform(
            MIN_RANDOM_FACTOR, MAX_RANDOM_FACTOR
        )
        shortest_s = min(pause_s, MIN_ROUND_S)
        await asyncio.sleep(shortest_s)
        await self._workload.wait_for_end(ended, pause_s - shortest_s)

    def _run_round(
        self, results: dict[Waiter, asyncio.Future[Outcome]]
    ) -> None:
        """Tries the first requests, and places at most one."""
        now_s = asyncio.get_running_loop().time()
        ahead: list[order.Need] = []
        tries = 0
        waiters = sorted(
            (w for w, result in results.items() if not result.done()),
            key=lambda waiter: order.sort_key(waiter.need, now_s),
        )
        for waiter in waiters[:MAX_CONSIDERED]:
            tried = self._try(waiter, ahead, now_s)
            if isinstance(tried, placement_module.Placement):
                _set(results[waiter], tried)
                return
            if tried.action is decision.Action.REJECT:
                _set(results[waiter], Rejection(tried.reason))
                continue
            ahead.append(waiter.need)
            tries += tried not in (decision.GIVES_WAY, decision.BEHIND)
            if tries >= MAX_TRIES:
                return

    def _reject_excess(self) -> None:
        """Rejects requests beyond the bounds.

        Of the least urgent requests, the one that arrived last is rejected
        first.
        """
        waiting = [
            (waiter, result)
            for results in self._results_by_service.values()
            for waiter, result in results.items()
            if not result.done()
        ]
        body_bytes = sum(waiter.body_bytes for waiter, _ in waiting)
        while len(waiting) > MAX_REQUESTS or body_bytes > MAX_BODY_BYTES:
            last = max(
                waiting,
                key=lambda pair: (
                    pair[0].need.priority_class,
                    pair[0].need.arrived_at_s,
                ),
            )
            waiting.remove(last)
            body_bytes -= last[0].body_bytes
            _set(last[1], Rejection('too many requests wait'))

    def _note_end(
        self,
        waiter: Waiter,
        outcome: Outcome | None,
        waited_s: float,
        ahead: int,
    ) -> None:
        need = waiter.need
        word, reason = 'removed', 'caller left or time is over'
        if isinstance(outcome, Rejection):
            word, reason = 'rejected', outcome.reason
            self._metrics.count(
                'waiting_rejected',
                priority_class=need.priority_class,
                reason=reason,
            )
        elif outcome is not None:
            word, reason = 'placed', ''
        self._metrics.count(
            'waits', priority_class=need.priority_class, outcome=word
        )
        self._metrics.observe(
            'wait_seconds', waited_s, priority_class=need.priority_class
        )
        LOG.info(
            'wait ended',
            extra={
                'request_id': waiter.request_id,
                'service': waiter.service,
                'priority_class': need.priority_class,
                'outcome': word,
                'reason': reason,
                'waited_for': waiter.reason,
                'behind': ahead,
                'waited_s': round(waited_s, 4),
                'tries': waiter.tries,
                'expected_s': waiter.first_event_s,
                'idle_s': round(need.idle_first_event_s, 4),
                'loads_age_s': self._workload.peer_loads_age_s(),
                'fleet_waiting': {
                    f'{key[0]} {key[1]}': waiting_sum.requests
                    for key, waiting_sum in (
                        self._sums.sums_excluding(()).items()
                    )
                },
            },
        )


def _set(result: asyncio.Future[Outcome], outcome: Outcome) -> None:
    if not result.done():
        result.set_result(outcome)
