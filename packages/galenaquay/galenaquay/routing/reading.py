"""How long engines take to read prompts and to write, from their step times.

Source: the step times that the configuration gives for each pool.
"""

from typing import Final

from ..configuration import routes
from ..engines import workload

_K_TOKENS: Final = 1e3
_M_PAIRS: Final = 1e6
_MS: Final = 1e3


def read_s(times: routes.EngineTimes, tokens: int, engines: int = 1) -> float:
    """Returns the time that each of some engines reads a prompt, seconds."""
    pairs = tokens * tokens / 2
    whole_s = (
        tokens / times.read_tokens_per_s
        + pairs / _M_PAIRS * times.read_per_pairs_m_ms / _MS
    )
    return whole_s / engines


def pass_s(times: routes.EngineTimes, load: workload.EndpointLoad) -> float:
    """Returns the time of one pass that writes, without reading, seconds."""
    step_ms = (
        times.step_ms
        + times.step_per_writer_ms * max(1, load.writing)
        + times.step_per_context_k_ms * load.memory_tokens / _K_TOKENS
    )
    return times.steps_per_pass * step_ms / _MS


def passes(times: routes.EngineTimes, tokens: int) -> int:
    """Returns the passes in which an answer is written."""
    return -(-tokens // times.steps_per_pass)


def slot_wait_s(
    times: routes.EngineTimes, load: workload.EndpointLoad
) -> float:
    """Returns the time until one of an engine's slots is free, in seconds."""
    over = load.running + 1 - times.slots
    if over <= 0:
        return 0.0
    answer_s = passes(times, times.usual_answer_tokens) * pass_s(times, load)
    return over * answer_s / times.slots
