"""The objects that the forwarding of all requests shares."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import dataclasses
import math
import random

from .. import telemetry
from ..configuration import current as current_module
from ..engines import reliability as reliability_module
from ..engines import usual_times as usual_times_module
from ..engines import workload as workload_module
from . import hedging as hedging_module
from ..limits import attempt_budget
from ..limits import availability as availability_module
from ..limits import group_memory
from ..limits import named_limits as named_limits_module
from ..limits import quarantine as quarantine_module
from ..limits import trial_grants as trial_grants_module
from ..ports import exchange
from . import relaying as relaying_module
from . import response_ends as response_ends_module
from ..routing import placement as placement_module
from ..waiting import room as room_module
from ..waiting import sums as sums_module


class Lifetime:
    """Until when this process accepts and serves requests."""

    # Both on the event loop's clock; infinite until a shutdown begins.
    accepts_until_s: float
    ends_at_s: float

    def __init__(self) -> None:
        self.accepts_until_s = math.inf
        self.ends_at_s = math.inf
        self._timeouts: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def request(self, deadline_s: float) -> AsyncIterator[None]:
        """Ends the context with TimeoutError at a deadline.

        It ends earlier if `end_requests` is called.

        Args:
            deadline_s: The deadline, on the event loop's clock.
        """
        async with asyncio.timeout_at(deadline_s) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def end_requests(self) -> None:
        """Ends all requests now, as if their deadlines had passed."""
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now_s)


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Objects that the forwarding of all requests shares."""

    current: current_module.RouteTableInForce
    placer: placement_module.Placer
    workload: workload_module.Workload
    reliability: reliability_module.Reliability
    budget: attempt_budget.AttemptBudget
    exchange: exchange.Exchange
    group_memory: group_memory.GroupMemory
    metrics: telemetry.TextMetrics
    rng: random.Random
    usual_times: usual_times_module.UsualTimes
    lifetime: Lifetime
    quarantine: quarantine_module.Quarantine
    trial_grants: trial_grants_module.TrialGrants
    named_limits: named_limits_module.NamedLimits
    availability: availability_module.Availability
    response_ends: response_ends_module.ResponseEnds
    # Gets the present loads of endpoints, or gives up soon.
    refresh_loads: Callable[[], Awaitable[None]]
    # The requests that wait for capacity.
    room: room_module.Room
    waiting_sums: sums_module.WaitingSums
    hedging: hedging_module.Hedging
    # Has other VMs forward requests; None if there are no other VMs.
    relaying: relaying_module.Relaying | None = None
