"""Decides when one prompt may be sent although parts of it are blamed.

This is the half-open state of a circuit breaker: blame ends when an engine
answers a prompt with the blamed parts, and while no such prompt is sent, none
can be answered. So one prompt at a time is sent as a trial. A trial under
which an engine ends is recorded as such with the end, so that all VMs know how
many trials have failed.

At most MAX_FAILED trials may end an engine while a part stays blamed: users
accept three requests with a crashing part after its fifth crash, and one of
them is left for VMs that do not know of the crashes yet. Users also require
that prompts with a part that does not crash engines are sent again 6 s after
the last crash. This bounds the wait for the first trial of any part: a part
may be new and blamed for the crashes of another one, or of engines that ended
by themselves, before any engine could answer it.
"""

from collections.abc import Callable
import dataclasses
import math
import time
from typing import Final

from .. import ids
from ..ports import trials

# Time from the last end of an engine to the first trial of a part that engines
# have answered before, in seconds. Prompts that were being processed at the
# last end usually clear a part that does not crash engines earlier.
ANSWERED_WAIT_S: Final = 1.0
# The same for a part that no engine has answered, in seconds: it is likely to
# be what crashes engines. The rest of the 6 s is for the answer of the trial.
UNANSWERED_WAIT_S: Final = 3.0
# The same for identities of requests, in seconds: if another identity shows
# that the request is a new one, and if it is likely to have ended engines.
OTHER_REQUEST_WAIT_S: Final = 2.0
SAME_REQUEST_WAIT_S: Final = 30.0
# A prompt whose other parts are suspected too waits longer, by the factor at
# its suspicion (see `BlamedPrompt`), or by the last one.
SUSPICION_FACTORS: Final = (1.0, 1.5, 4.0)
# After a failed trial the next one waits longer by this factor; the second one
# for parts that no engine has answered, whose waits are long already.
FAILED_FACTOR: Final = 4.0
FAILED_UNANSWERED_FACTOR: Final = 1.5
# Number of trials that may fail while a part or an identity stays blamed.
MAX_FAILED: Final = 2
MAX_FAILED_OF_IDENTITY: Final = 1
# Suspicion from which a prompt is not tried again for some time after a failed
# trial, and that time in seconds. The next trial is left for prompts that tell
# the blamed parts from the other suspected ones.
MIN_SUSPECT: Final = 2
SUSPECT_RETRY_S: Final = 60.0
# Time after which a trial that has not ended no longer keeps other prompts
# from being tried, in seconds: its VM may have ended, or its engine be stuck.
SLOW_TRIAL_S: Final = 2.0
# Longest lease, in seconds, whatever the time limit of the request is.
MAX_LEASE_S: Final = 60.0
# Time after which a VM asks again for a trial that was not granted because
# another one is running or the parts are not blamed there, in seconds.
RETRY_S: Final = 0.3


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What all VMs know of a set of blamed parts."""

    # Time since the last engine ended under the parts, in seconds.
    last_end_age_s: float
    # Number of trials under which an engine ended.
    failed_trials: int
    # Whether engines have answered one of the parts before.
    was_answered: bool
    # Whether all the parts are identities of requests.
    is_own: bool


@dataclasses.dataclass(frozen=True)
class BlamedPrompt:
    """A prompt that contains blamed parts."""

    parts: frozenset[ids.PromptPartId]
    # What is known of these parts; None if the prompt is no candidate for a
    # trial because its parts are blamed for different ends.
    evidence: Evidence | None
    # Largest number of ends recorded for any other part of the prompt that no
    # engine has answered; at least MIN_SUSPECT if a trial of it has failed.
    suspicion: int
    # Whether the request is likely to have ended engines before.
    is_same_request: bool


def time_until_due_s(
    evidence: Evidence, suspicion: int, is_same_request: bool
) -> float:
    """Returns the time until a prompt may be tried; 0 if due, inf if never.

    Args:
        evidence: What is known of the blamed parts.
        suspicion: The suspicion of the other parts of the prompt.
        is_same_request: Whether the request is likely to have ended
            engines before.
    """
    if evidence.failed_trials >= _max_failed(evidence):
        return math.inf
    if evidence.is_own:
        wait_s = (
            SAME_REQUEST_WAIT_S if is_same_request else OTHER_REQUEST_WAIT_S
        )
        failed_factor = FAILED_FACTOR
    else:
        if evidence.was_answered:
            wait_s, failed_factor = ANSWERED_WAIT_S, FAILED_FACTOR
        else:
            wait_s, failed_factor = UNANSWERED_WAIT_S, FAILED_UNANSWERED_FACTOR
        most = len(SUSPICION_FACTORS) - 1
        wait_s *= SUSPICION_FACTORS[min(suspicion, most)]
    wait_s *= failed_factor**evidence.failed_trials
    if evidence.failed_trials and suspicion >= MIN_SUSPECT:
        wait_s = max(wait_s, SUSPECT_RETRY_S)
    return max(0.0, wait_s - evidence.last_end_age_s)


def _max_failed(evidence: Evidence) -> int:
    return MAX_FAILED_OF_IDENTITY if evidence.is_own else MAX_FAILED


@dataclasses.dataclass(frozen=True)
class _Lease:
    parts: frozenset[ids.PromptPartId]
    # Number of failed trials that were known when the trial was granted.
    failed_trials: int
    granted_at_s: float
    expires_at_s: float


class TrialLeases:
    """The trials that this VM has granted and that may still run."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._leases_by_id: dict[trials.TrialId, _Lease] = {}

    def grant(self, trial: trials.Trial, evidence: Evidence | None) -> float:
        """Grants a trial if it is due and no other one has just begun.

        A lease ends when the trial is given back, when its request must have
        ended, or when the end of an engine under a trial becomes known. A
        trial beside one that may still be running is granted only if both
        may end an engine.

        Args:
            trial: The trial that a VM asks for.
            evidence: What is known here of the blamed parts; None if they are
                not blamed here.

        Returns:
            0 if the trial is granted, else the time for which asking again is
            useless, in seconds.
        """
        if evidence is None:
            return RETRY_S
        now_s = self._clock()
        self._leases_by_id = {
            trial_id: lease
            for trial_id, lease in self._leases_by_id.items()
            if lease.expires_at_s > now_s
        }
        wait_s = time_until_due_s(
            evidence, trial.suspicion, trial.is_same_request
        )
        if wait_s > 0:
            return wait_s
        if not self._has_room(trial, evidence, now_s):
            return RETRY_S
        self._leases_by_id[trial.id] = _Lease(
            trial.blamed_parts,
            evidence.failed_trials,
            now_s,
            now_s + min(trial.duration_s, MAX_LEASE_S),
        )
        return 0.0

    def _has_room(
        self, trial: trials.Trial, evidence: Evidence, now_s: float
    ) -> bool:
        """Returns whether a trial may run beside those that may be running."""
        leases = [
            lease
            for lease in self._leases_by_id.values()
            if lease.parts & trial.blamed_parts
        ]
        if not leases:
            return True
        failed_before = min(lease.failed_trials for lease in leases)
        running = len(leases) - (evidence.failed_trials - failed_before)
        if running <= 0:
            return True
        last_at_s = max(lease.granted_at_s for lease in leases)
        return (
            now_s - last_at_s >= SLOW_TRIAL_S
            and evidence.failed_trials + running < _max_failed(evidence)
        )

    def release(self, trial_id: trials.TrialId) -> None:
        """Ends the lease of a trial whose request has ended."""
        self._leases_by_id.pop(trial_id, None)
