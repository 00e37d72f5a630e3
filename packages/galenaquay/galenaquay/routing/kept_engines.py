"""Engines that are kept for the short prompts of more urgent classes.

`short_set` selects the engines; the rule here says what a request of a less
urgent class may do there.
"""

import dataclasses
import math
from typing import Final

from ..configuration import priorities
from ..engines import workload

# Time that is left for the prefill of a short prompt after a part of a less
# urgent prompt, in seconds.
SHORT_PREFILL_S: Final = 0.06


@dataclasses.dataclass(frozen=True)
class KeepRule:
    """Decides which engines may prefill parts of a request's prompt."""

    # Longest pause that callers of the most urgent class accept, in seconds.
    first_class_pause_s: float
    # Whether the engines that are kept take only parts that leave short
    # prompts enough time.
    keeps_out: bool = False
    # Whether no engine takes a part that is longer than the pauses that the
    # callers of its other requests accept.
    spares_pauses: bool = False
    # Shortest pause or target time that any more urgent callers accept, in
    # seconds.
    tightest_s: float = math.inf

    def is_gentle(
        self, load: workload.EndpointLoad, prefill_s: float, pass_s: float
    ) -> bool:
        """Returns whether a part leaves short prompts enough time.

        Args:
            load: The load of the engine.
            prefill_s: Time of the part on this engine, in seconds.
            pass_s: Time of a decode pass of the engine, in seconds.
        """
        stall_s = load.prefill_s + prefill_s + pass_s
        return stall_s + SHORT_PREFILL_S <= self.tightest_s

    def allows(
        self,
        load: workload.EndpointLoad,
        prefill_s: float,
        pass_s: float,
        *,
        is_kept: bool,
    ) -> bool:
        """Returns whether an engine may prefill a part of the prompt.

        Args:
            load: The load of the engine.
            prefill_s: Time of the part on this engine, in seconds.
            pass_s: Time of a decode pass of the engine, in seconds.
            is_kept: Whether the engine is kept for short prompts.
        """
        if (
            is_kept
            and self.keeps_out
            and not self.is_gentle(load, prefill_s, pass_s)
        ):
            return False
        if not self.spares_pauses:
            return True
        # The pauses that callers of requests in prefill accept are not known.
        pauses_s = [group.max_gap_s for group in load.decoding_groups]
        if load.running > load.decoding:
            pauses_s.append(self.tightest_s)
        return prefill_s + pass_s <= min(pauses_s, default=math.inf)


@dataclasses.dataclass(frozen=True)
class IdleEstimate:
    """Times of a request that finds the engines idle."""

    # Time to the first event outside of the engines kept for short prompts,
    # in seconds.
    first_event_s: float
    # Shortest time to the first event on any engines, in seconds.
    fastest_s: float
    # Time from the first event to the last, in seconds.
    decode_s: float


def make_rule(
    limits: priorities.UrgentLimits,
    *,
    is_kept_out: bool,
    spares_pauses: bool,
) -> KeepRule:
    """Returns the rule for a request.

    Args:
        limits: What callers of more urgent classes accept.
        is_kept_out: Value of `KeepRule.keeps_out`.
        spares_pauses: Value of `KeepRule.spares_pauses`.
    """
    if limits.tightest_s is None:
        return KeepRule(limits.first_class_pause_s)
    return KeepRule(
        limits.first_class_pause_s,
        is_kept_out,
        spares_pauses,
        limits.tightest_s,
    )
