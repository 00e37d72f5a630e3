"""Keeps prompts away from engines if a part of them crashes engines.

A prompt that crashes the engine that begins to answer it would be sent to one
engine after the other, by retries of its caller and of other VMs. When an
engine ends, the VMs that lost requests there record the parts of those prompts
that had no answer yet, and the identities of the requests
(`request_identities`). VMs share these records, and each derives from them
which parts are to blame (`blame`):

- A part counts the engines that ended under it, one after the other: a request
  with the part was sent after the previous counted engine had ended. Engines
  that end at the same moment, for example with their zone, count once.
- An engine that writes an answer to a prompt with the part clears the part of
  all earlier ends, so that parts that engines can answer are not blamed.
- Ends that a blamed part explains do not count for other parts.
- A request is not sent again after two ends under one of its identities. If
  engines have answered a last part, it counts like any part of prompts: a
  session may use it again. A body that engines have answered counts for
  nothing: its content crashes no engine, and other requests often share it.

Parts that have been in the same prompts at every end cannot be told apart;
only prompts that contain all of them are refused. Blame also ends by a trial
(`trials`): one prompt at a time is sent although a part of it is blamed.
"""

from collections.abc import Callable, Collection, Iterable
import dataclasses
import logging
import time
from typing import Final

from .. import ids
from . import blame
from ..engines import directory
from ..membership import revisions as revisions_module
from . import recent_answers
from . import reported_parts
from . import request_identities
from . import trials

LOG: Final = logging.getLogger(__name__)
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
# Largest number of parts that records are kept of, and of identities. Most
# identities belong to one request, so they must not displace shared parts.
MAX_PARTS: Final = 512
MAX_IDENTITIES: Final = 512
# Largest number of parts whose last answer is remembered, and of identities.
MAX_ANSWERED_PARTS: Final = 4096
MAX_ANSWERED_IDENTITIES: Final = 4096
# Interval between removals of outdated records, in seconds.
EXPIRY_INTERVAL_S: Final = 1.0


@dataclasses.dataclass
class _Part:
    ends_by_run: dict[ids.EndpointRun, blame.End] = dataclasses.field(
        default_factory=dict
    )
    # When engines have last answered the part, as far as this is known here;
    # earlier ends do not count.
    cleared_at_s: float = float('-inf')

    def last_ended_at_s(self) -> float:
        """Returns when the last engine ended; -inf if none has."""
        return max(
            (end.ended_at_s for end in self.ends_by_run.values()),
            default=float('-inf'),
        )

    def was_answered(self) -> bool:
        """Returns whether an engine is known to have answered the part."""
        return self.cleared_at_s != float('-inf')


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
        self._answered_parts = recent_answers.RecentAnswers(MAX_ANSWERED_PARTS)
        self._answered_identities = recent_answers.RecentAnswers(
            MAX_ANSWERED_IDENTITIES
        )
        self._blamed: list[frozenset[ids.PromptPartId]] = []
        self._expires_at_s = float('-inf')

    def now_s(self) -> float:
        """Returns the time on the clock that `record_end` refers to."""
        return self._clock()

    def find_blamed(
        self, part_ids: Iterable[ids.PromptPartId]
    ) -> frozenset[ids.PromptPartId]:
        """Returns the blamed parts of a prompt, none if it may be sent."""
        blamed = self.assess(part_ids)
        return frozenset() if blamed is None else blamed.parts

    def assess(
        self,
        part_ids: Iterable[ids.PromptPartId],
        identities: Collection[ids.PromptPartId] = (),
    ) -> trials.BlamedPrompt | None:
        """Returns what is blamed of a prompt; None if it may be sent.

        Args:
            part_ids: The parts of the prompt that other prompts may share.
            identities: The identities of the request.
        """
        self._remove_outdated()
        if not self._blamed:
            return None
        shared = frozenset((*part_ids, *identities))
        own = frozenset(map(request_identities.own, identities))
        prompt = shared | own
        blamed = [parts for parts in self._blamed if parts <= prompt]
        if not blamed:
            return None
        parts = frozenset[ids.PromptPartId]().union(*blamed)
        others = prompt - parts
        is_candidate = len(blamed) == 1 or parts <= own
        return trials.BlamedPrompt(
            parts,
            self.evidence(parts) if is_candidate else None,
            max(map(self._suspicion, others), default=0),
            self._is_same_request(identities),
        )

    def _is_same_request(self, identities: Iterable[ids.PromptPartId]) -> bool:
        """Returns whether a request is likely to have ended engines before.

        An identity that engines have answered does not tell requests apart.
        """
        ends = [
            self._count_ends(request_identities.own(identity))
            for identity in identities
            if self._answered_identities.last_at_s(identity) is None
        ]
        return bool(ends) and min(ends) > 0

    def evidence(
        self, part_ids: frozenset[ids.PromptPartId]
    ) -> trials.Evidence | None:
        """Returns what is known of blamed parts; None if none is blamed."""
        self._remove_outdated()
        if not any(parts & part_ids for parts in self._blamed):
            return None
        parts = [
            self._parts_by_id[part_id]
            for part_id in part_ids
            if part_id in self._parts_by_id
        ]
        return trials.Evidence(
            self._clock() - max(part.last_ended_at_s() for part in parts),
            max(
                sum(end.is_trial for end in part.ends_by_run.values())
                for part in parts
            ),
            any(part.was_answered() for part in parts),
            all(map(request_identities.is_own, part_ids)),
        )

    def _count_ends(self, part_id: ids.PromptPartId) -> int:
        part = self._parts_by_id.get(part_id)
        return 0 if part is None else len(part.ends_by_run)

    def _suspicion(self, part_id: ids.PromptPartId) -> int:
        """Returns how far a part that is not blamed is suspected."""
        part = self._parts_by_id.get(part_id)
        if part is None or part.was_answered():
            return 0
        ends = part.ends_by_run.values()
        if any(end.is_trial for end in ends):
            return max(len(ends), trials.MIN_SUSPECT)
        return len(ends)

    def is_suspected(
        self,
        part_ids: Iterable[ids.PromptPartId],
        identities: Iterable[ids.PromptPartId] = (),
    ) -> bool:
        """Returns whether an engine has ended under a part or an identity.

        Ends that they were cleared of do not count.
        """
        self._remove_outdated()
        own = map(request_identities.own, identities)
        return any(map(self._count_ends, (*part_ids, *own)))

    def blamed_count(self) -> int:
        """Returns the number of parts, or sets of parts, that are blamed."""
        self._remove_outdated()
        return len(self._blamed)

    def record_end(
        self,
        endpoint: directory.Endpoint,
        part_ids: Iterable[ids.PromptPartId],
        sent_at_s: float,
        identities: Iterable[ids.PromptPartId] = (),
        *,
        is_before_head: bool = False,
        is_trial: bool = False,
    ) -> None:
        """Records that an engine has ended before it answered a prompt.

        Args:
            endpoint: The engine.
            part_ids: The parts of the prompt that other prompts may share.
            sent_at_s: When the request was sent, on the clock of this object.
            identities: The identities of the request.
            is_before_head: Whether the head of the response had not come yet.
            is_trial: Whether the request was sent as a trial.
        """
        end = blame.End(sent_at_s, self._clock(), is_before_head, is_trial)
        is_new = False
        for part_id in (*part_ids, *self._recorded(identities)):
            is_new |= self._add_end(part_id, endpoint.run, end)
        if is_new:
            self._derive_blamed()
            self._report_soon()

    def _recorded(
        self, identities: Iterable[ids.PromptPartId]
    ) -> Iterable[ids.PromptPartId]:
        """Yields the ids under which ends count for identities."""
        for identity in identities:
            if self._answered_identities.last_at_s(identity) is None:
                yield request_identities.own(identity)
            elif not request_identities.is_body(identity):
                yield identity

    def record_answer(
        self,
        part_ids: Iterable[ids.PromptPartId],
        identities: Iterable[ids.PromptPartId] = (),
    ) -> None:
        """Records that an engine has written an answer to a prompt.

        The answer is complete, or was begun at least BEGINNING_S ago.

        Args:
            part_ids: The parts of the prompt that other prompts may share.
            identities: The identities of the request.
        """
        now_s = self._clock()
        is_changed = False
        for part_id in part_ids:
            self._answered_parts.record(part_id, now_s)
            is_changed |= self._clear_ended(part_id, now_s)
        for identity in identities:
            self._answered_identities.record(identity, now_s)
            for part_id in (identity, request_identities.own(identity)):
                is_changed |= self._clear_ended(part_id, now_s)
        if is_changed:
            self._derive_blamed()
            self._report_soon()

    def _clear_ended(self, part_id: ids.PromptPartId, now_s: float) -> bool:
        """Clears a part if it has ends; returns whether it had."""
        part = self._parts_by_id.get(part_id)
        if part is None or not part.ends_by_run:
            return False
        self._clear(part_id, part, now_s)
        return True

    def reports_after(
        self, revision: int
    ) -> list[reported_parts.ReportedPart]:
        """Returns what has changed after a revision, for another VM."""
        now_s = self._clock()
        return [
            reported_parts.ReportedPart(
                part_id,
                tuple(
                    reported_parts.ReportedEnd(
                        run,
                        now_s - end.sent_at_s,
                        now_s - end.ended_at_s,
                        end.is_before_head,
                        end.is_trial,
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

    def merge(self, reports: Iterable[reported_parts.ReportedPart]) -> None:
        """Adds what another VM has reported."""
        now_s = self._clock()
        is_changed = False
        for report in reports:
            is_changed |= self._merge_part(report, now_s)
        if is_changed:
            self._derive_blamed()

    def _merge_part(
        self, report: reported_parts.ReportedPart, now_s: float
    ) -> bool:
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
                blame.End(
                    now_s - end.sent_age_s,
                    now_s - end.ended_age_s,
                    end.is_before_head,
                    end.is_trial,
                ),
            )
        return is_changed

    def _add_end(
        self, part_id: ids.PromptPartId, run: ids.EndpointRun, end: blame.End
    ) -> bool:
        """Adds an end; returns whether it is new and was not cleared."""
        part = self._parts_by_id.setdefault(part_id, _Part())
        now_s = self._clock()
        if end.ended_at_s <= part.cleared_at_s:
            return False
        if end.ended_at_s < now_s - END_VALID_S:
            return False
        answered_at_s = self._answered_at_s(part_id)
        if answered_at_s is not None:
            if request_identities.is_own(part_id):
                # Another VM does not know that the identity is shared.
                self._clear(part_id, part, now_s)
                return True
            if answered_at_s > end.ended_at_s:
                self._clear(part_id, part, answered_at_s)
                return True
            if not part.was_answered():
                # Tells the other VMs that engines have answered the part.
                self._clear(part_id, part, answered_at_s)
        known = part.ends_by_run.get(run)
        if known is not None:
            # Several requests with the part were lost at the same engine.
            end = dataclasses.replace(
                known,
                is_before_head=known.is_before_head and end.is_before_head,
                is_trial=known.is_trial or end.is_trial,
            )
            if end == known:
                return False
        part.ends_by_run[run] = end
        self._revisions.record_change(_fact(part_id))
        return True

    def _answered_at_s(self, part_id: ids.PromptPartId) -> float | None:
        """Returns when this VM last recorded an answer; None if not known."""
        if request_identities.is_identity(part_id):
            return self._answered_identities.last_at_s(
                request_identities.without_own(part_id)
            )
        return self._answered_parts.last_at_s(part_id)

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
            part_id: part.ends_by_run
            for part_id, part in self._parts_by_id.items()
            if not request_identities.is_own(part_id)
        }
        ends_by_identity = {
            part_id: part.ends_by_run
            for part_id, part in self._parts_by_id.items()
            if request_identities.is_own(part_id)
        }
        answered = {
            part_id
            for part_id, part in self._parts_by_id.items()
            if part.was_answered()
        }
        blamed = [
            *blame.find_blamed_parts(ends_by_part, answered),
            *blame.find_blamed_identities(ends_by_identity),
        ]
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
        is_changed |= self._evict(MAX_PARTS, is_identity=False)
        is_changed |= self._evict(MAX_IDENTITIES, is_identity=True)
        if is_changed:
            self._derive_blamed()

    def _evict(self, max_parts: int, *, is_identity: bool) -> bool:
        """Forgets excess parts with fewest ends; returns whether any."""
        kept = [
            part_id
            for part_id in self._parts_by_id
            if request_identities.is_identity(part_id) == is_identity
        ]
        excess = len(kept) - max_parts
        if excess <= 0:
            return False
        kept.sort(
            key=lambda part_id: (
                len(self._parts_by_id[part_id].ends_by_run),
                self._parts_by_id[part_id].last_ended_at_s(),
            )
        )
        for part_id in kept[:excess]:
            self._forget(part_id)
        return True

    def _forget(self, part_id: ids.PromptPartId) -> None:
        del self._parts_by_id[part_id]
        self._revisions.forget(_fact(part_id))


def _fact(part_id: ids.PromptPartId) -> tuple[str, ids.PromptPartId]:
    """Returns the key of a part among all shared facts."""
    return ('part', part_id)
