"""An engine's state at its owner: reports, cold start, prefill backlog."""

import dataclasses
from typing import Final

from .. import ids
from ..configuration import documents
from ..ports import engine as engine_port

# A first token counts as slow if it takes longer than its estimated time times
# this factor, plus FIRST_TOKEN_ALLOWANCE_S. Only first tokens of short prompts
# are measured: their priority makes their time predictable.
SLOW_FACTOR: Final = 1.5
# Allowance for a prefill ahead in the queue and for engine steps, which the
# estimate leaves out, in seconds.
FIRST_TOKEN_ALLOWANCE_S: Final = 0.2
# Number of the latest first tokens that are considered, and number of slow
# ones among them from which the engine is assumed to be cold.
CONSIDERED_FIRST_TOKENS: Final = 3
MIN_SLOW_FIRST_TOKENS: Final = 2
# First tokens older than this are not considered, in seconds.
FIRST_TOKEN_VALID_S: Final = 2.0
# Time to first token that is recorded for an answer that broke, in seconds.
BROKEN_ANSWER_FIRST_TOKEN_S: Final = 3600.0
# Number of warm reports after which an engine is no longer assumed to be cold.
WARM_REPORTS: Final = 2
# Number of consecutive failed reports from which an engine is assumed to be
# unreachable.
UNREACHABLE_REPORTS: Final = 3


@dataclasses.dataclass(frozen=True)
class FirstToken:
    """The first token of one answer of an engine."""

    at_s: float
    is_slow: bool


@dataclasses.dataclass
class EngineState:
    """The state of one engine, as far as its owner knows it."""

    endpoint_id: ids.EndpointId
    # The incarnation that the engine last reported; 0 before its first report.
    # Another incarnation means that the engine was restarted: it is empty and
    # cold.
    incarnation: int = 0
    # An engine is assumed to be cold until reports show that it is warm.
    is_cold: bool = True
    is_reachable: bool = True
    # When the prefills of short prompts, and of all prompts, that were sent to
    # the engine are expected to end, by the owner's clock.
    short_busy_until_s: float = 0.0
    busy_until_s: float = 0.0
    # The latest first tokens, from oldest to newest.
    first_tokens: list[FirstToken] = dataclasses.field(default_factory=list)
    failed_reports: int = 0
    # Reports on a time before this one are not counted as warm reports.
    cold_since_s: float = float('-inf')
    warm_reports: int = 0

    def note_report(
        self, report: engine_port.LoadReport, now_s: float
    ) -> None:
        """Processes a load report, which describes a past state."""
        self.failed_reports = 0
        self.is_reachable = True
        if report.incarnation != self.incarnation:
            if self.incarnation:
                self.mark_cold(now_s)
            self.incarnation = report.incarnation
        if report.is_cold:
            self.is_cold = True
            self.warm_reports = 0
            return
        if now_s - report.age_s > self.cold_since_s:
            self.warm_reports += 1
        if self.warm_reports >= WARM_REPORTS:
            self.is_cold = False

    def note_failed_report(self) -> None:
        """Counts a load report that could not be obtained."""
        self.failed_reports += 1
        if self.failed_reports >= UNREACHABLE_REPORTS:
            self.is_reachable = False

    def mark_cold(self, now_s: float) -> None:
        """Assumes the engine to be cold until later reports show it warm."""
        self.is_cold = True
        self.cold_since_s = now_s
        self.warm_reports = 0
        self.first_tokens.clear()

    def note_first_token(
        self, took_s: float, expected_s: float, now_s: float
    ) -> None:
        """Records the time of a first token.

        Detects an engine that has become cold without reporting it.
        """
        recent = [
            t
            for t in self.first_tokens
            if now_s - t.at_s < FIRST_TOKEN_VALID_S
        ]
        recent.append(FirstToken(now_s, is_slow(took_s, expected_s)))
        self.first_tokens = recent[-CONSIDERED_FIRST_TOKENS:]
        if (
            sum(token.is_slow for token in self.first_tokens)
            >= MIN_SLOW_FIRST_TOKENS
        ):
            self.mark_cold(now_s)

    def backlog_s(self, now_s: float, *, is_short: bool) -> float:
        """Returns how long a new prefill waits at the engine, in seconds."""
        until_s = self.short_busy_until_s if is_short else self.busy_until_s
        return max(0.0, until_s - now_s)

    def add_prefill(
        self, prefill_s: float, now_s: float, *, is_short: bool
    ) -> None:
        """Adds a prefill that is sent to the engine to its backlog."""
        self.busy_until_s = max(self.busy_until_s, now_s) + prefill_s
        if is_short:
            self.short_busy_until_s = (
                max(self.short_busy_until_s, now_s) + prefill_s
            )


def prefill_s(endpoint: documents.Endpoint, prompt_tokens: int) -> float:
    """Estimates the prefill time of a prompt on an idle engine, in seconds."""
    return prompt_tokens / endpoint.prefill_tokens_s


def is_slow(took_s: float, expected_s: float) -> bool:
    """Returns whether a first token took too long for a warm engine."""
    return took_s > expected_s * SLOW_FACTOR + FIRST_TOKEN_ALLOWANCE_S
