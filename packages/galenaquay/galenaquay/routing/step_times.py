"""Estimates how long engines take for prefill and decode.

The estimates use the step times that the configuration gives for each pool.
"""

from typing import Final

from ..configuration import routes
from ..engines import workload

_K_TOKENS: Final = 1e3
_M_PAIRS: Final = 1e6
_MS: Final = 1e3


def prefill_s(
    times: routes.EngineTimes, tokens: int, engines: int = 1
) -> float:
    """Returns the prefill time of a prompt that is split over engines.

    Args:
        times: The step times of the engines.
        tokens: The length of the whole prompt.
        engines: The number of engines, each of which prefills an equal part.

    Returns:
        The time on each engine, in seconds.
    """
    # Attention relates each token to all earlier ones.
    pairs = tokens * tokens / 2
    unsplit_s = (
        tokens / times.prefill_tokens_per_s
        + pairs / _M_PAIRS * times.prefill_ms_per_m_pairs / _MS
    )
    return unsplit_s / engines


def decode_pass_s(
    times: routes.EngineTimes, load: workload.EndpointLoad
) -> float:
    """Returns the time of a decode pass without any prefill, in seconds."""
    step_ms = (
        times.step_ms
        + times.step_ms_per_sequence * max(1, load.decoding)
        + times.step_ms_per_k_context * load.memory_tokens / _K_TOKENS
    )
    return times.steps_per_pass * step_ms / _MS


def decode_passes(times: routes.EngineTimes, tokens: int) -> int:
    """Returns the number of decode passes for an answer of some tokens."""
    return -(-tokens // times.steps_per_pass)


def slot_wait_s(
    times: routes.EngineTimes, load: workload.EndpointLoad
) -> float:
    """Estimates the time until an engine has a free slot, in seconds."""
    excess = load.running + 1 - times.slots
    if excess <= 0:
        return 0.0
    answer_s = decode_passes(
        times, times.typical_answer_tokens
    ) * decode_pass_s(times, load)
    return excess * answer_s / times.slots
