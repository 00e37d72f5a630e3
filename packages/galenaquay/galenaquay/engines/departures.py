"""Remembers which runs of endpoints the platform's list shows to shut down."""

from collections.abc import Callable
import enum
from typing import Final

from .. import ids

# Time for which the sign of a run is remembered, in seconds. The longest
# requests end earlier.
REMEMBERED_S: Final = 120.0
# Largest number of runs that are remembered.
MAX_RUNS: Final = 4096


class Sign(enum.Enum):
    """What the list says of a run that may shut down."""

    DRAINING = 'draining'
    REMOVED = 'removed'


class Departures:
    """Runs that were listed as draining or were removed from the list."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # The sign of each run and when it was last recorded, in the order of
        # the times. DRAINING takes precedence over REMOVED.
        self._signs_by_run: dict[ids.EndpointRun, tuple[Sign, float]] = {}

    def record_draining(self, run: ids.EndpointRun) -> None:
        """Records that a run is listed as draining."""
        self._record(run, Sign.DRAINING)

    def record_removed(self, run: ids.EndpointRun) -> None:
        """Records that a run was removed from the list."""
        if run not in self._signs_by_run:
            self._record(run, Sign.REMOVED)

    def record_ready(self, run: ids.EndpointRun) -> None:
        """Records that a run is listed as ready."""
        self._signs_by_run.pop(run, None)

    def find(self, run: ids.EndpointRun) -> tuple[Sign, float] | None:
        """Returns the sign of a run and the time since it, in seconds."""
        found = self._signs_by_run.get(run)
        if found is None:
            return None
        sign, at_s = found
        return sign, self._clock() - at_s

    def _record(self, run: ids.EndpointRun, sign: Sign) -> None:
        self._signs_by_run.pop(run, None)
        self._signs_by_run[run] = (sign, self._clock())
        oldest_s = self._clock() - REMEMBERED_S
        for old, (_, at_s) in list(self._signs_by_run.items()):
            if at_s >= oldest_s and len(self._signs_by_run) <= MAX_RUNS:
                break
            del self._signs_by_run[old]
