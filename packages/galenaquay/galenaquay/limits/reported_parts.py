"""What VMs tell each other about parts of prompts and ends of engines.

Times are ages, as the clocks of two VMs cannot be compared.
"""

import dataclasses

from .. import ids


@dataclasses.dataclass(frozen=True)
class ReportedEnd:
    """The end of an engine that had a request with a part."""

    engine_run: ids.EndpointRun
    # Time since the request was sent and since the engine ended, in seconds.
    sent_age_s: float
    ended_age_s: float
    # Whether the head of the response had not come when the engine ended.
    is_before_head: bool = False
    # Whether the request was sent as a trial of blamed parts.
    is_trial: bool = False


@dataclasses.dataclass(frozen=True)
class ReportedPart:
    """What one VM tells others about a part of prompts."""

    part_id: ids.PromptPartId
    ends: tuple[ReportedEnd, ...] = ()
    # Time since the part was cleared of earlier ends, in seconds; None if it
    # was not.
    cleared_age_s: float | None = None
