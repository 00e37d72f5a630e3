"""The request rates that endpoints in need have named in their answers.

An endpoint names the rate that it takes from all VMs together, and takes more
again once its answers name none. Every answer counts, and of what several VMs
have heard from one endpoint, the newest.
"""

from collections.abc import Callable, Iterable
import dataclasses
import logging
import time
from typing import Final

from .. import ids
from .. import telemetry
from ..membership import revisions as revisions_module

LOG: Final = logging.getLogger(__name__)
# Time after which an endpoint that no VM has heard from has no limit, in
# seconds.
HEARD_VALID_S: Final = 120.0
# Interval between removals of outdated limits, in seconds.
EXPIRY_INTERVAL_S: Final = 1.0
# Times of answers that two VMs report are the same if they differ by at most
# this much, in seconds.
SAME_TIME_S: Final = 0.05


@dataclasses.dataclass(frozen=True)
class ReportedLimit:
    """What one VM tells others about the limit of an endpoint."""

    endpoint_id: ids.EndpointId
    # Requests per second; None if the endpoint no longer names a limit.
    per_s: float | None
    # Time since the answer that said so, in seconds.
    age_s: float


@dataclasses.dataclass(frozen=True)
class _Limit:
    per_s: float | None
    heard_at_s: float


class NamedLimits:
    """The latest limit of each endpoint that has named one."""

    def __init__(
        self,
        revisions: revisions_module.Revisions | None = None,
        report_soon: Callable[[], None] = lambda: None,
        metrics: telemetry.TextMetrics | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._revisions = revisions or revisions_module.Revisions()
        # Has the new limits of this VM sent to other VMs at once.
        self._report_soon = report_soon
        self._metrics = metrics or telemetry.TextMetrics()
        self._clock = clock
        self._limits_by_id: dict[ids.EndpointId, _Limit] = {}
        self._expires_at_s = float('-inf')

    def per_s(self, endpoint_id: ids.EndpointId) -> float | None:
        """Returns the limit of an endpoint, in requests per second.

        Returns None if the endpoint names none.
        """
        self._remove_outdated()
        limit = self._limits_by_id.get(endpoint_id)
        return None if limit is None else limit.per_s

    def count(self) -> int:
        """Returns the number of endpoints that name a limit."""
        self._remove_outdated()
        return sum(
            limit.per_s is not None for limit in self._limits_by_id.values()
        )

    def record_answer(
        self, endpoint_id: ids.EndpointId, per_s: float | None
    ) -> None:
        """Records the limit that an answer names, None if it names none."""
        old = self._limits_by_id.get(endpoint_id)
        if old is None and per_s is None:
            return
        self._limits_by_id[endpoint_id] = _Limit(per_s, self._clock())
        if old is None or old.per_s != per_s:
            self._revisions.record_change(_fact(endpoint_id))
            self._report_soon()
            self._log_change(endpoint_id, old, per_s, is_own=True)

    def reports_after(self, revision: int) -> list[ReportedLimit]:
        """Returns what has changed after a revision, for another VM."""
        now_s = self._clock()
        return [
            ReportedLimit(endpoint_id, limit.per_s, now_s - limit.heard_at_s)
            for endpoint_id, limit in self._limits_by_id.items()
            if self._revisions.is_newer(_fact(endpoint_id), revision)
        ]

    def merge(self, reports: Iterable[ReportedLimit]) -> None:
        """Applies what another VM has reported."""
        now_s = self._clock()
        for report in reports:
            self._merge_one(report, now_s - report.age_s)

    def _merge_one(self, report: ReportedLimit, heard_at_s: float) -> None:
        endpoint_id = report.endpoint_id
        old = self._limits_by_id.get(endpoint_id)
        if old is not None and old.per_s == report.per_s:
            if heard_at_s > old.heard_at_s:
                self._limits_by_id[endpoint_id] = _Limit(
                    report.per_s, heard_at_s
                )
            return
        if old is not None and heard_at_s <= old.heard_at_s:
            # The other VM, and those it has told, do not know what this VM
            # has heard since.
            if heard_at_s < old.heard_at_s - SAME_TIME_S:
                self._revisions.record_change(_fact(endpoint_id))
            return
        self._limits_by_id[endpoint_id] = _Limit(report.per_s, heard_at_s)
        self._revisions.record_change(_fact(endpoint_id))
        self._log_change(endpoint_id, old, report.per_s, is_own=False)

    def _log_change(
        self,
        endpoint_id: ids.EndpointId,
        old: _Limit | None,
        per_s: float | None,
        *,
        is_own: bool,
    ) -> None:
        self._metrics.count('limit_changes', own=is_own)
        LOG.info(
            'endpoint limit',
            extra={
                'endpoint': endpoint_id,
                'per_s': per_s,
                'previous_per_s': None if old is None else old.per_s,
                'heard_from': 'endpoint' if is_own else 'member',
            },
        )

    def _remove_outdated(self) -> None:
        now_s = self._clock()
        if now_s < self._expires_at_s:
            return
        self._expires_at_s = now_s + EXPIRY_INTERVAL_S
        for endpoint_id, limit in list(self._limits_by_id.items()):
            if limit.heard_at_s < now_s - HEARD_VALID_S:
                del self._limits_by_id[endpoint_id]
                self._revisions.forget(_fact(endpoint_id))


def _fact(endpoint_id: ids.EndpointId) -> tuple[str, ids.EndpointId]:
    """Returns the key of an endpoint's limit among all shared facts."""
    return ('limit', endpoint_id)
