"""How long the calls of each service usually take."""

from typing import Final

from .. import ids

# Weight of the newest answer.
USUAL_WEIGHT: Final = 0.05
# Usual time before any call was answered, in seconds.
USUAL_S: Final = 0.05


class UsualTimes:
    """A moving average for each service."""

    def __init__(self) -> None:
        self._usual_s_by_service: dict[ids.ServiceName, float] = {}

    def usual_s(self, service: ids.ServiceName) -> float:
        """Returns the usual time of a service's calls, in seconds."""
        return self._usual_s_by_service.get(service, USUAL_S)

    def note(self, service: ids.ServiceName, took_s: float) -> None:
        """Takes the time of one answer in."""
        usual_s = self.usual_s(service)
        self._usual_s_by_service[service] = (
            usual_s + (took_s - usual_s) * USUAL_WEIGHT
        )
