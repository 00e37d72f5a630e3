"""The port to the VMs that grant trials of prompts with blamed parts."""

import dataclasses
from typing import NewType, Protocol

from .. import ids

# Id of a trial, unique among the trials of all VMs.
TrialId = NewType('TrialId', str)


@dataclasses.dataclass(frozen=True)
class Trial:
    """A prompt with blamed parts that a VM wants to send."""

    id: TrialId
    blamed_parts: frozenset[ids.PromptPartId]
    # How far other parts of the prompt are suspected: the largest number of
    # ends of such a part, more if a trial of it has failed.
    suspicion: int
    # Whether the request is likely to have ended engines before.
    is_same_request: bool
    # Time after which the request has ended in any case, in seconds.
    duration_s: float


class TrialPeers(Protocol):
    """Asks other VMs for trials."""

    async def request_trial(self, address: str, trial: Trial) -> float | None:
        """Asks a VM to grant a trial.

        Returns:
            0 if the trial is granted, else the time for which asking again is
            useless, in seconds. None if the VM does not reply in time.
        """
        ...

    async def give_back(self, address: str, trial_id: TrialId) -> None:
        """Tells a VM that a trial is over; the message may be lost."""
        ...
