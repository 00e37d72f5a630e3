"""Tracks the average time of a call to each plain service."""

from typing import Final

from .. import ids

# Weight of the newest call in the moving average.
NEWEST_WEIGHT: Final = 0.05
# Time that is assumed for a service until its first call is answered, in
# seconds.
INITIAL_S: Final = 0.05


class UsualTimes:
    """An exponential moving average of the call times of each service."""

    def __init__(self) -> None:
        self._usual_s_by_service: dict[ids.ServiceName, float] = {}

    def usual_s(self, service: ids.ServiceName) -> float:
        """Returns the average time of a call to a service, in seconds."""
        return self._usual_s_by_service.get(service, INITIAL_S)

    def note(self, service: ids.ServiceName, took_s: float) -> None:
        """Adds the time of one answered call to the average."""
        usual_s = self.usual_s(service)
        self._usual_s_by_service[service] = (
            usual_s + (took_s - usual_s) * NEWEST_WEIGHT
        )
