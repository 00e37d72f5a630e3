"""Which engines of a zone short prompts go to first.

Reading a long prompt stops everything that its engine is writing. Short
prompts are therefore kept together on as few engines as their number needs,
and long ones are read on the others. All VMs order a zone's engines alike, so
they agree on the set without talking about it; it grows with the requests
that are known to run there.
"""

from collections.abc import Iterable, Mapping
import math
from typing import Final

import xxhash

from .. import ids
from ..engines import directory
from ..engines import workload

_NO_LOAD: Final = workload.EndpointLoad()
# Share of their slots that requests take on the engines of the set.
FILL_SHARE: Final = 0.7
# Share of all engines that the set takes at least and at most.
MIN_SHARE: Final = 0.3
MAX_SHARE: Final = 0.67


def _order(endpoint: directory.Endpoint) -> int:
    return xxhash.xxh64_intdigest(endpoint.id.encode())


def engines_for_shorts(
    endpoints: Iterable[directory.Endpoint],
    loads: Mapping[ids.EndpointId, workload.EndpointLoad],
    slots: int,
) -> frozenset[ids.EndpointId]:
    """Returns the engines that short prompts go to first, in every zone.

    Args:
        endpoints: The engines that may receive requests.
        loads: What is known to run on them.
        slots: Requests that an engine runs at once.
    """
    endpoints_by_zone: dict[ids.ZoneName, list[directory.Endpoint]] = {}
    running, engines = 0, 0
    for endpoint in endpoints:
        endpoints_by_zone.setdefault(endpoint.zone, []).append(endpoint)
        engines += 1
        running += loads.get(endpoint.id, _NO_LOAD).running
    if not engines:
        return frozenset()
    needed = (running + 1) / (slots * FILL_SHARE)
    share = min(MAX_SHARE, max(MIN_SHARE, needed / engines))
    chosen: set[ids.EndpointId] = set()
    zones = sorted(endpoints_by_zone)
    for number, zone in enumerate(zones):
        of_zone = sorted(endpoints_by_zone[zone], key=_order)
        # The zones' engines join the set in turn.
        count = math.ceil(share * len(of_zone) - number / len(zones))
        chosen.update(e.id for e in of_zone[: max(1, count)])
    return frozenset(chosen)
