"""Decides which parts of prompts are to blame for the ends of engines.

The decision depends only on the records that all VMs share, so VMs that have
the same records agree on it.
"""

from collections.abc import Container, Iterable, Mapping
import dataclasses
from typing import Final

from .. import ids

# Weight of the ends of engines one after the other under a part, from which
# the part is blamed; an end counts 1 at most.
MIN_ENDS: Final = 3.0
# Number of ends under the same identity of a request from which the request is
# not sent again.
MIN_IDENTITY_ENDS: Final = 2
# Weight of an end before the head of the response. A part crashes an engine as
# it begins to write, which is after the head of a stream, but a response that
# is no stream has no head before its end. Four such ends count like three.
BEFORE_HEAD_WEIGHT: Final = 0.75


@dataclasses.dataclass(frozen=True)
class End:
    """The end of an engine that had a request with a part."""

    # When the request was sent and when the engine ended, on one clock.
    sent_at_s: float
    ended_at_s: float
    # Whether the head of the response had not come yet.
    is_before_head: bool = False
    # Whether the request was sent as a trial of blamed parts.
    is_trial: bool = False


EndsByRun = Mapping[ids.EndpointRun, End]


def weigh_in_turn(ends: Iterable[End]) -> float:
    """Returns the weight of the engines that ended one after the other.

    The request that an engine ended under counts only if it was sent after the
    previous counted engine had ended.
    """
    weight = 0.0
    previous_s = float('-inf')
    for end in sorted(ends, key=lambda end: end.ended_at_s):
        if end.sent_at_s >= previous_s:
            weight += BEFORE_HEAD_WEIGHT if end.is_before_head else 1.0
            previous_s = end.ended_at_s
    return weight


def find_blamed_parts(
    ends_by_part: Mapping[ids.PromptPartId, EndsByRun],
    answered: Container[ids.PromptPartId],
) -> list[frozenset[ids.PromptPartId]]:
    """Returns the blamed parts; those of one set cannot be told apart.

    Ends that a blamed part explains do not count for other parts. Parts that
    engines have answered before explain ends only if no other part does, since
    a part that crashes engines is in no answer.

    Args:
        ends_by_part: The ends recorded for each part.
        answered: The parts under which engines have answered before.
    """
    remaining = {part: ends for part, ends in ends_by_part.items() if ends}
    blamed = []
    while remaining:
        worst = max(
            remaining,
            key=lambda part: (
                weigh_in_turn(remaining[part].values()) >= MIN_ENDS,
                part not in answered,
                len(remaining[part]),
                part,
            ),
        )
        explained = remaining[worst]
        if weigh_in_turn(explained.values()) < MIN_ENDS:
            break
        blamed.append(
            frozenset(
                part
                for part, ends in remaining.items()
                if ends.keys() == explained.keys()
                and (part in answered) == (worst in answered)
            )
        )
        remaining = _without(remaining, frozenset(explained))
    return blamed


def find_blamed_identities(
    ends_by_identity: Mapping[ids.PromptPartId, EndsByRun],
) -> list[frozenset[ids.PromptPartId]]:
    """Returns the identities of requests that are not sent again, each alone.

    The ends also count for shared parts: each request with a shared part that
    crashes engines may end two of them.
    """
    return [
        frozenset((identity,))
        for identity, ends in ends_by_identity.items()
        if len(ends) >= MIN_IDENTITY_ENDS
    ]


def _without(
    ends_by_part: Mapping[ids.PromptPartId, EndsByRun],
    runs: frozenset[ids.EndpointRun],
) -> dict[ids.PromptPartId, EndsByRun]:
    """Returns the ends of the other runs, without parts that have none."""
    remaining = {
        part: {run: end for run, end in ends.items() if run not in runs}
        for part, ends in ends_by_part.items()
    }
    return {part: ends for part, ends in remaining.items() if ends}
