"""Keeps prompts away from engines if a part of them crashes engines.

A prompt that crashes the engine that begins to answer it would be sent to one
engine after the other, by retries of its caller and of other VMs. When an
engine ends, the VMs that lost requests there record the parts of those prompts
that had no answer yet. VMs share these records, and each derives from them
which parts are to blame:

- A part counts the engines that ended under it, one after the other: a request
  with the part was sent after the previous counted engine had ended. Engines
  that end at the same moment, for example with their zone, count once.
- An engine that writes an answer to a prompt with the part clears the part of
  all earlier ends, so that parts that sound prompts share are not blamed.
- Ends that a blamed part explains do not count for other parts.

Parts that have been in the same prompts at every end cannot be told apart;
only prompts that contain all of them are refused.
"""

from collections.abc import Callable, Iterable
import dataclasses
import logging
import time
from typing import Final

from .. import ids
from ..engines import directory
from ..membership import revisions as revisions_module

LOG: Final = logging.getLogger(__name__)
# Number of engines that ended one after the other under a part, from which the
# part is blamed.
MIN_ENDS: Final = 3
# Time for which the end of an engine counts, in seconds.
END_VALID_S: Final = 900.0
# Time for which a VM remembers that a part was cleared, in seconds. Ends that
# the part was cleared of may still arrive from other VMs during that time.
CLEARED_VALID_S: Final = 60.0
# Times at which two VMs report that a part was cleared are the same if they
# differ by at most this much, in seconds.
SAME_TIME_S: Final = 0.05
# Time from the first event of an answer after which the prompt has not ended
# the engine, in seconds.
BEGINNING_S: Final = 0.25
# Largest number of parts that records are kept of.
MAX_PARTS: Final = 512
# Largest number of parts whose last answer is remembered.
MAX_ANSWERED_PARTS: Final = 4096
# Interval between removals of outdated records, in seconds.
EXPIRY_INTERVAL_S: Final = 1.0


@dataclasses.dataclass(frozen=True)
class ReportedEnd:
    """The end of an engine that had a request with a part."""

    engine_run: ids.EndpointRun
    # Time since the request was sent and since the engine ended, in seconds.
    sent_age_s: float
    ended_age_s: float


@dataclasses.dataclass(frozen=True)
class ReportedPart:
    """What one VM tells others about a part of prompts."""

    part_id: ids.PromptPartId
    ends: tuple[ReportedEnd, ...] = ()
    # Time since the part was cleared of earlier ends, in seconds; None if it
    # was not.
    cleared_age_s: float | None = None


@dataclasses.dataclass(frozen=True)
class _End:
    sent_at_s: float
    ended_at_s: float


@dataclasses.dataclass
class _Part:
    ends_by_run: dict[ids.EndpointRun, _End] = dataclasses.field(
        default_factory=dict
    )
    cleared_at_s: float = float('-inf')

    def last_ended_at_s(self) -> float:
        """Returns when the last engine ended; -inf if none has."""
        return max(
            (end.ended_at_s for end in self.ends_by_run.values()),
            default=float('-inf'),
        )


def _count_in_turn(ends: Iterable[_End]) -> int:
    """Counts the engines that ended one after the other.

    The request that an engine ended under counts only if it was sent after the
    previous counted engine had ended.
    """
    count = 0
    previous_s = float('-inf')
    for end in sorted(ends, key=lambda end: end.ended_at_s):
        if end.sent_at_s >= previous_s:
            count += 1
            previous_s = end.ended_at_s
    return count


class Quarantine:
    """The parts of prompts that are blamed for the ends of engines."""

    def __init__(
        self,
        revisions: revisions_module.Revisions | None = None,
        report_soon: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._revisions = revisions or revisions_module.Revisions()
        # Has the new records of this VM sent to other VMs at once.
        self._report_soon = report_soon
        self._clock = clock
        self._parts_by_id: dict[ids.PromptPartId, _Part] = {}
        # When a prompt with a part was last answered by this VM; in order of
        # these times.
        self._answered_at_s_by_part: dict[ids.PromptPartId, float] = {}
        self._blamed: list[frozenset[ids.PromptPartId]] = []
        self._expires_at_s = float('-inf')

    def now_s(self) -> float:
        """Returns the time on the clock that `record_end` refers to."""
        return self._clock()

    def find_blamed(
        self, part_ids: Iterable[ids.PromptPartId]
    ) -> frozenset[ids.PromptPartId]:
        """Returns the blamed parts of a prompt, none if it may be sent."""
        self._remove_outdated()
        if not self._blamed:
            return frozenset()
        prompt = frozenset(part_ids)
        return next(
            (blamed for blamed in self._blamed if blamed <= prompt),
            frozenset(),
        )

    def is_suspected(self, part_ids: Iterable[ids.PromptPartId]) -> bool:
        """Returns whether an engine has ended under a part of a prompt.

        Ends that the part was cleared of do not count.
        """
        self._remove_outdated()
        parts = map(self._parts_by_id.get, part_ids)
        return any(part is not None and part.ends_by_run for part in parts)

    def blamed_count(self) -> int:
        """Returns the number of parts, or sets of parts, that are blamed."""
        self._remove_outdated()
        return len(self._blamed)

    def record_end(
        self,
        endpoint: directory.Endpoint,
        part_ids: Iterable[ids.PromptPartId],
        sent_at_s: float,
    ) -> None:
        """Records that an engine has ended before it answered a prompt.

        Args:
            endpoint: The engine.
            part_ids: The parts of the prompt that other prompts may share.
            sent_at_s: When the request was sent, on the clock of this object.
        """
        end = _End(sent_at_s, self._clock())
        is_new = False
        for part_id in part_ids:
            is_new |= self._add_end(part_id, endpoint.run, end)
        if is_new:
            self._derive_blamed()
            self._report_soon()

    def record_answer(self, part_ids: Iterable[ids.PromptPartId]) -> None:
        """Records that an engine has written an answer to a prompt.

        The answer is complete, or was begun at least BEGINNING_S ago.
        """
        now_s = self._clock()
        is_changed = False
        for part_id in part_ids:
            self._answered_at_s_by_part.pop(part_id, None)
            self._answered_at_s_by_part[part_id] = now_s
            part = self._parts_by_id.get(part_id)
            if part is not None and part.ends_by_run:
                self._clear(part_id, part, now_s)
                is_changed = True
        while len(self._answered_at_s_by_part) > MAX_ANSWERED_PARTS:
            del self._answered_at_s_by_part[
                next(iter(self._answered_at_s_by_part))
            ]
        if is_changed:
            self._derive_blamed()
            self._report_soon()

    def reports_after(self, revision: int) -> list[ReportedPart]:
        """Returns what has changed after a revision, for another VM."""
        now_s = self._clock()
        return [
            ReportedPart(
                part_id,
                tuple(
                    ReportedEnd(
                        run, now_s - end.sent_at_s, now_s - end.ended_at_s
                    )
                    for run, end in part.ends_by_run.items()
                ),
                None
                if part.cleared_at_s == float('-inf')
                else now_s - part.cleared_at_s,
            )
            for part_id, part in self._parts_by_id.items()
            if self._revisions.is_newer(_fact(part_id), revision)
        ]

    def merge(self, reports: Iterable[ReportedPart]) -> None:
        """Adds what another VM has reported."""
        now_s = self._clock()
        is_changed = False
        for report in reports:
            is_changed |= self._merge_part(report, now_s)
        if is_changed:
            self._derive_blamed()

    def _merge_part(self, report: ReportedPart, now_s: float) -> bool:
        is_changed = False
        part = self._parts_by_id.get(report.part_id)
        if report.cleared_age_s is not None:
            cleared_at_s = now_s - report.cleared_age_s
            if part is None:
                part = self._parts_by_id[report.part_id] = _Part()
            if cleared_at_s > part.cleared_at_s + SAME_TIME_S:
                self._clear(report.part_id, part, cleared_at_s)
                is_changed = True
        for end in report.ends:
            is_changed |= self._add_end(
                report.part_id,
                end.engine_run,
                _End(now_s - end.sent_age_s, now_s - end.ended_age_s),
            )
        return is_changed

    def _add_end(
        self, part_id: ids.PromptPartId, run: ids.EndpointRun, end: _End
    ) -> bool:
        """Adds an end; returns whether it is new and was not cleared."""
        part = self._parts_by_id.setdefault(part_id, _Part())
        if run in part.ends_by_run or end.ended_at_s <= part.cleared_at_s:
            return False
        if end.ended_at_s < self._clock() - END_VALID_S:
            return False
        answered_at_s = self._answered_at_s_by_part.get(part_id)
        if answered_at_s is not None and answered_at_s > end.ended_at_s:
            self._clear(part_id, part, answered_at_s)
            return True
        part.ends_by_run[run] = end
        self._revisions.record_change(_fact(part_id))
        return True

    def _clear(
        self, part_id: ids.PromptPartId, part: _Part, cleared_at_s: float
    ) -> None:
        part.cleared_at_s = cleared_at_s
        part.ends_by_run = {
            run: end
            for run, end in part.ends_by_run.items()
            if end.ended_at_s > cleared_at_s
        }
        self._revisions.record_change(_fact(part_id))

    def _derive_blamed(self) -> None:
        """Updates the blamed parts; logs those that are new or cleared."""
        ends_by_part = {
            part_id: dict(part.ends_by_run)
            for part_id, part in self._parts_by_id.items()
            if part.ends_by_run
        }
        blamed: list[frozenset[ids.PromptPartId]] = []
        while ends_by_part:
            worst = max(
                ends_by_part, key=lambda part_id: len(ends_by_part[part_id])
            )
            explained = ends_by_part[worst]
            if _count_in_turn(explained.values()) < MIN_ENDS:
                del ends_by_part[worst]
                continue
            blamed.append(
                frozenset(
                    part_id
                    for part_id, ends in ends_by_part.items()
                    if ends.keys() == explained.keys()
                )
            )
            ends_by_part = _without(ends_by_part, frozenset(explained))
        self._log_changes(blamed)
        self._blamed = blamed

    def _log_changes(self, blamed: list[frozenset[ids.PromptPartId]]) -> None:
        for parts in blamed:
            if parts not in self._blamed:
                runs = set.union(
                    *(set(self._parts_by_id[p].ends_by_run) for p in parts)
                )
                LOG.warning(
                    'prompt parts blamed for ends of engines',
                    extra={'parts': sorted(parts), 'engines': sorted(runs)},
                )
        for parts in self._blamed:
            if parts not in blamed:
                LOG.warning(
                    'prompt parts no longer blamed',
                    extra={'parts': sorted(parts)},
                )

    def _remove_outdated(self) -> None:
        now_s = self._clock()
        if now_s < self._expires_at_s:
            return
        self._expires_at_s = now_s + EXPIRY_INTERVAL_S
        is_changed = False
        for part_id, part in list(self._parts_by_id.items()):
            for run, end in list(part.ends_by_run.items()):
                if end.ended_at_s < now_s - END_VALID_S:
                    del part.ends_by_run[run]
                    is_changed = True
            if not part.ends_by_run and (
                part.cleared_at_s < now_s - CLEARED_VALID_S
            ):
                self._forget(part_id)
        excess = len(self._parts_by_id) - MAX_PARTS
        if excess > 0:
            ranked = sorted(
                self._parts_by_id,
                key=lambda part_id: (
                    len(self._parts_by_id[part_id].ends_by_run),
                    self._parts_by_id[part_id].last_ended_at_s(),
                ),
            )
            for part_id in ranked[:excess]:
                self._forget(part_id)
            is_changed = True
        if is_changed:
            self._derive_blamed()

    def _forget(self, part_id: ids.PromptPartId) -> None:
        del self._parts_by_id[part_id]
        self._revisions.forget(_fact(part_id))


def _fact(part_id: ids.PromptPartId) -> tuple[str, ids.PromptPartId]:
    """Returns the key of a part among all shared facts."""
    return ('part', part_id)


def _without(
    ends_by_part: dict[ids.PromptPartId, dict[ids.EndpointRun, _End]],
    runs: frozenset[ids.EndpointRun],
) -> dict[ids.PromptPartId, dict[ids.EndpointRun, _End]]:
    """Returns the ends of the other runs, without parts that have none."""
    remaining = {
        part_id: {run: end for run, end in ends.items() if run not in runs}
        for part_id, ends in ends_by_part.items()
    }
    return {part_id: ends for part_id, ends in remaining.items() if ends}
