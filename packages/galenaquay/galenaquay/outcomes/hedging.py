"""Decides whether a request is sent to a second endpoint as well.

A hedge is a second attempt that runs beside a slow first one. The module
learns after which time a request is slow, keeps the limits on hedges, and says
for each slow request whether it is hedged, and if not, why. `hedged_attempts`
runs the attempts.

Every VM keeps to the share of its own requests and needs no coordination, so
that the hedges of all VMs keep to the share of all requests.
"""

from collections.abc import Callable
import dataclasses
import enum
import math
import time
from typing import Final

from hdrh import histogram

from .. import ids
from ..limits import attempt_budget

# Largest share of extra requests that may be set for the fleet. Each hedge
# takes a retry from the budget, to which requests add no more than this.
MAX_FLEET_SHARE: Final = attempt_budget.RETRIES_PER_REQUEST
# Largest number of hedges that unused shares add up to.
MAX_SAVED_HEDGES: Final = 10.0
# Largest number of accounts for which a share is kept.
MAX_ACCOUNTS: Final = 4096
# Retries that hedges leave in the budget of a service, for requests that
# failed.
RESERVED_RETRIES: Final = attempt_budget.INITIAL_RETRIES / 2
# Bounds of the quantile of the response times after which a request is slow.
# The quantile leaves as many requests as may be hedged.
MIN_QUANTILE: Final = 0.95
MAX_QUANTILE: Final = 0.99
# Number of responses that have to be slower than the quantile before it is
# used.
MIN_SLOWER_RESPONSES: Final = 3
# Shortest time for which response times are learnt from, in seconds. The
# longest is twice this, or until enough responses are known.
MIN_WINDOW_S: Final = 150.0
# Largest number of kinds of requests that response times are kept of.
MAX_KINDS: Final = 128
# Time for which a quantile is used before it is determined anew, in seconds.
QUANTILE_VALID_S: Final = 1.0
# Unit of the response times that histograms contain, per second, and the
# longest time, in that unit; longer ones count as the longest.
TICKS_PER_S: Final = 10_000
MAX_TICKS: Final = 600 * TICKS_PER_S
SIGNIFICANT_DIGITS: Final = 2
COUNTER_BYTES: Final = 4
# Prompts shorter than this are in one band; each further band is twice as
# long as the one before.
FIRST_BAND_TOKENS: Final = 1024
# Time for which a class of requests counts as under shortage after one of its
# requests was refused, in seconds. The operator's limit on retries refers to
# a period of the same length.
SHORTAGE_S: Final = 10.0


class Decision(enum.Enum):
    """Whether a request is hedged, or the reason why it is not."""

    SEND = 'send'
    OFF = 'off'
    NOT_REPEATABLE = 'not repeatable'
    RETRIED = 'not the first attempt'
    SPLIT_PROMPT = 'split prompt'
    FEW_RESPONSES = 'few responses known'
    SHUTDOWN = 'shutdown'
    NO_ATTEMPT_LEFT = 'no attempt left'
    REQUESTS_WAIT = 'requests wait'
    SHORTAGE = 'shortage'
    SUSPECTED_PROMPT = 'suspected prompt'
    NO_ENDPOINT = 'no free endpoint'
    TOO_LATE = 'too late'
    FLEET_SHARE = 'share of the fleet'
    ACCOUNT_SHARE = 'share of the account'
    RETRY_BUDGET = 'retry budget'


@dataclasses.dataclass(frozen=True)
class Shares:
    """Limits on hedges, as shares of requests; 0 turns hedging off."""

    fleet: float = 0.0
    # Limit for the requests of one account.
    account: float = 0.0

    @property
    def is_on(self) -> bool:
        """Whether requests may be hedged."""
        return self.fleet > 0 and self.account > 0

    def find_problem(self) -> str | None:
        """Returns why the shares are invalid; None if they are valid."""
        for name, share, maximum in (
            ('fleet', self.fleet, MAX_FLEET_SHARE),
            ('account', self.account, 1.0),
        ):
            # The comparison also fails for NaN.
            if not 0 <= share <= maximum:
                return (
                    f'the share of hedges for the {name} has to be from 0 to '
                    f'{maximum:g}, not {share:g}'
                )
        if (self.fleet > 0) != (self.account > 0):
            return (
                'the shares of hedges for the fleet and for an account have '
                'to be both 0 or both above 0'
            )
        return None


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests that are expected to take a similar time."""

    service: ids.ServiceName
    route: ids.RouteName
    # Band of prompt lengths, see `prompt_band`.
    band: int


def prompt_band(prompt_tokens: int) -> int:
    """Returns the band of a prompt's length, from 0."""
    return (prompt_tokens // FIRST_BAND_TOKENS).bit_length()


@dataclasses.dataclass(frozen=True)
class LearntDelay:
    """The time after which a request of one kind is slow."""

    delay_s: float
    # Number of responses that the delay was learnt from, and the time since
    # the oldest of them, in seconds.
    responses: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class Situation:
    """What is known when a request turns out to be slow."""

    service: ids.ServiceName
    priority_class: ids.PriorityClass | None
    account: ids.AccountId | None
    may_repeat: bool
    # Attempts that were sent, the slow one included.
    attempts: int
    max_attempts: int
    is_shutting_down: bool
    # Whether requests wait for capacity, at this VM or at others.
    has_waiting_requests: bool
    # Whether a part of the prompt may have ended an engine.
    is_suspected: bool
    # Time until the request is given up, in seconds.
    time_left_s: float
    # Estimated time to the response of the second endpoint, in seconds; None
    # if there is no such endpoint.
    expected_s: float | None
    # Retries that the service's budget contains.
    retries_left: float


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        1, MAX_TICKS, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES
    )


class _ResponseTimes:
    """Response times of one kind of requests, from a moving window.

    The response times are recorded in two histograms. The older one is read,
    and is replaced by the younger one once that has enough of them.
    """

    def __init__(self, quantile: float, now_s: float) -> None:
        self._quantile = quantile
        self._older = _new_histogram()
        self._younger = _new_histogram()
        self._older_since_s = now_s
        self._younger_since_s = now_s
        self._delay_s = 0.0
        self._delay_valid_until_s = float('-inf')

    def record(self, took_s: float, now_s: float) -> None:
        ticks = min(MAX_TICKS, max(1, math.ceil(took_s * TICKS_PER_S)))
        if now_s - self._younger_since_s >= MIN_WINDOW_S and self._has_enough(
            self._younger
        ):
            self._older = self._younger
            self._older_since_s = self._younger_since_s
            self._younger = _new_histogram()
            self._younger_since_s = now_s
        self._older.record_value(ticks)
        self._younger.record_value(ticks)

    def delay(self, now_s: float) -> LearntDelay | None:
        if not self._has_enough(self._older):
            return None
        if now_s >= self._delay_valid_until_s:
            self._delay_valid_until_s = now_s + QUANTILE_VALID_S
            ticks = self._older.get_value_at_percentile(self._quantile * 100)
            self._delay_s = ticks / TICKS_PER_S
        return LearntDelay(
            self._delay_s,
            self._older.get_total_count(),
            now_s - self._older_since_s,
        )

    def _has_enough(self, known: histogram.HdrHistogram) -> bool:
        slower = known.get_total_count() * (1 - self._quantile)
        return bool(slower >= MIN_SLOWER_RESPONSES)


class Hedging:
    """The limits on hedges of this VM, and what it has learnt."""

    shares: Shares

    def __init__(
        self,
        shares: Shares | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.shares = shares or Shares()
        self._clock = clock
        self._quantile = min(
            MAX_QUANTILE, max(MIN_QUANTILE, 1 - self.shares.fleet)
        )
        # Hedges that the requests so far allow.
        self._fleet_left = 0.0
        # The same for each account, in the order of their latest requests;
        # requests without an account share one limit.
        self._left_by_account: dict[ids.AccountId | None, float] = {}
        # In the order in which the kinds were last recorded.
        self._times_by_kind: dict[Kind, _ResponseTimes] = {}
        self._short_until_s_by_class: dict[
            tuple[ids.ServiceName, ids.PriorityClass | None], float
        ] = {}
        self._requests = 0
        self._hedges = 0

    def record_request(self, account: ids.AccountId | None) -> None:
        """Adds the shares of one admitted request to the limits."""
        if not self.shares.is_on:
            return
        self._requests += 1
        self._fleet_left = min(
            MAX_SAVED_HEDGES, self._fleet_left + self.shares.fleet
        )
        left = self._left_by_account.pop(account, 0.0)
        self._left_by_account[account] = min(
            MAX_SAVED_HEDGES, left + self.shares.account
        )
        if len(self._left_by_account) > MAX_ACCOUNTS:
            del self._left_by_account[next(iter(self._left_by_account))]

    def record_response(self, kind: Kind, took_s: float) -> None:
        """Records the time of a response to a first attempt.

        Args:
            kind: The kind of the request.
            took_s: Time to the head or to the first event, in seconds. If
                the attempt was ended without a response, its duration.
        """
        if not self.shares.is_on:
            return
        now_s = self._clock()
        times = self._times_by_kind.pop(kind, None)
        if times is None:
            times = _ResponseTimes(self._quantile, now_s)
        self._times_by_kind[kind] = times
        times.record(took_s, now_s)
        if len(self._times_by_kind) > MAX_KINDS:
            del self._times_by_kind[next(iter(self._times_by_kind))]

    def record_shortage(
        self,
        service: ids.ServiceName,
        priority_class: ids.PriorityClass | None,
    ) -> None:
        """Records that a request was refused for want of capacity."""
        if self.shares.is_on:
            self._short_until_s_by_class[service, priority_class] = (
                self._clock() + SHORTAGE_S
            )

    def find_delay(
        self,
        kind: Kind,
        *,
        may_repeat: bool,
        attempts: int,
        max_attempts: int,
        is_split: bool,
    ) -> LearntDelay | Decision:
        """Returns the time after which a request is slow.

        Args:
            kind: The kind of the request.
            may_repeat: Whether the request may run more than once.
            attempts: Attempts that were sent, with the one that begins.
            max_attempts: Attempts that the route allows.
            is_split: Whether several engines prefill the prompt.

        Returns:
            The delay, or the reason why the request is not hedged.
        """
        if not self.shares.is_on:
            return Decision.OFF
        if not may_repeat:
            return Decision.NOT_REPEATABLE
        if attempts != 1:
            return Decision.RETRIED
        if attempts >= max_attempts:
            return Decision.NO_ATTEMPT_LEFT
        if is_split:
            return Decision.SPLIT_PROMPT
        times = self._times_by_kind.get(kind)
        delay = None if times is None else times.delay(self._clock())
        return Decision.FEW_RESPONSES if delay is None else delay

    def decide(self, situation: Situation) -> Decision:
        """Decides whether a slow request is hedged.

        A request for which the decision is SEND takes its part of the shares.
        The caller takes one retry from the budget.
        """
        decision = self._find_obstacle(situation) or self._find_limit(
            situation
        )
        if decision is not None:
            return decision
        self._fleet_left -= 1
        self._left_by_account[situation.account] -= 1
        self._hedges += 1
        return Decision.SEND

    def _find_obstacle(self, situation: Situation) -> Decision | None:
        """Returns why the request must not be hedged; None if it may be."""
        expected_s = situation.expected_s
        if not self.shares.is_on:
            return Decision.OFF
        if not situation.may_repeat:
            return Decision.NOT_REPEATABLE
        if situation.attempts != 1:
            return Decision.RETRIED
        if situation.attempts >= situation.max_attempts:
            return Decision.NO_ATTEMPT_LEFT
        if situation.is_shutting_down:
            return Decision.SHUTDOWN
        if situation.is_suspected:
            return Decision.SUSPECTED_PROMPT
        if situation.has_waiting_requests:
            return Decision.REQUESTS_WAIT
        if self._is_short(situation.service, situation.priority_class):
            return Decision.SHORTAGE
        if expected_s is None:
            return Decision.NO_ENDPOINT
        if expected_s > situation.time_left_s:
            return Decision.TOO_LATE
        return None

    def _find_limit(self, situation: Situation) -> Decision | None:
        """Returns the limit that is used up; None if none is."""
        if self._fleet_left < 1:
            return Decision.FLEET_SHARE
        if self.account_left(situation.account) < 1:
            return Decision.ACCOUNT_SHARE
        if situation.retries_left < RESERVED_RETRIES + 1:
            return Decision.RETRY_BUDGET
        return None

    def _is_short(
        self,
        service: ids.ServiceName,
        priority_class: ids.PriorityClass | None,
    ) -> bool:
        until_s = self._short_until_s_by_class.get((service, priority_class))
        return until_s is not None and self._clock() < until_s

    def fleet_left(self) -> float:
        """Returns the hedges that the share of the fleet still allows."""
        return self._fleet_left

    def account_left(self, account: ids.AccountId | None) -> float:
        """Returns the hedges that the share of an account still allows."""
        return self._left_by_account.get(account, 0.0)

    def used_share(self) -> float:
        """Returns hedges per request since the process started."""
        return self._hedges / self._requests if self._requests else 0.0
