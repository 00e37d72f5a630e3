"""The objects that the forwarding of all requests shares."""

import dataclasses
import math
import random

from .. import telemetry
from ..configuration import current as current_module
from ..engines import reliability as reliability_module
from ..engines import usual_times as usual_times_module
from ..engines import workload as workload_module
from ..limits import attempt_budget
from ..limits import availability as availability_module
from ..limits import group_memory
from ..limits import named_limits as named_limits_module
from ..limits import quarantine as quarantine_module
from ..ports import exchange
from ..routing import placement as placement_module


@dataclasses.dataclass
class Lifetime:
    """The time at which this process stops serving requests."""

    # On the event loop's clock; infinite until a shutdown begins.
    ends_at_s: float = math.inf


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
    named_limits: named_limits_module.NamedLimits
    availability: availability_module.Availability
