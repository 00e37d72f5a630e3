"""Selects the engines of each zone that are preferred for short prompts.

The prefill of a long prompt stalls the decoding of all other requests on its
engine. Short prompts are therefore concentrated on as few engines as their
number requires, and long prompts are prefilled on the other engines. All VMs
sort the engines of a zone by the same hash, so that they select the same
engines without coordination. The set grows with the number of requests that
are known to run on the engines. In a pool with priority classes only those
count whose callers accept no longer pause than callers of the most urgent
class, since long answers of less urgent classes would enlarge the set.
"""

from collections.abc import Iterable, Mapping
import math
from typing import Final

import xxhash

from .. import ids
from ..engines import directory
from ..engines import workload

_NO_LOAD: Final = workload.EndpointLoad()
# Share of the slots of the selected engines that requests are to occupy.
TARGET_OCCUPANCY: Final = 0.7
# The same in a pool with priority classes, where requests that are not counted
# may take further slots.
URGENT_OCCUPANCY: Final = 0.6
# Smallest and largest share of a zone's engines that is selected.
MIN_SET_SHARE: Final = 0.3
MAX_SET_SHARE: Final = 0.67
# Longest prefill of a prompt that counts as short, in seconds.
SHORT_PREFILL_S: Final = 0.06


def _hash_of(endpoint: directory.Endpoint) -> int:
    return xxhash.xxh64_intdigest(endpoint.id.encode())


def _count_urgent(load: workload.EndpointLoad, pause_s: float) -> int:
    """Counts the requests that are likely to be short and urgent.

    These are decoding requests whose callers accept no longer pause, and
    requests before their first event if the pending prefill is short.
    """
    decoding = sum(
        group.count
        for group in load.decoding_groups
        if group.max_gap_s <= pause_s
    )
    prefilling = max(0, load.running - load.decoding)
    if load.prefill_s > prefilling * SHORT_PREFILL_S:
        prefilling = 0
    return decoding + prefilling


def engines_for_short_prompts(
    endpoints: Iterable[directory.Endpoint],
    loads: Mapping[ids.EndpointId, workload.EndpointLoad],
    slots: int,
    first_class_pause_s: float | None = None,
) -> frozenset[ids.EndpointId]:
    """Returns the engines of all zones that are preferred for short prompts.

    Args:
        endpoints: The engines that may receive requests.
        loads: The known load of the engines.
        slots: Number of requests that an engine runs at once.
        first_class_pause_s: Longest pause that callers of the most urgent
            class accept, in seconds; None if the pool has no classes.
    """
    endpoints_by_zone: dict[ids.ZoneName, list[directory.Endpoint]] = {}
    running, engines = 0, 0
    for endpoint in endpoints:
        endpoints_by_zone.setdefault(endpoint.zone, []).append(endpoint)
        engines += 1
        load = loads.get(endpoint.id, _NO_LOAD)
        running += (
            load.running
            if first_class_pause_s is None
            else _count_urgent(load, first_class_pause_s)
        )
    if not engines:
        return frozenset()
    occupancy = (
        TARGET_OCCUPANCY if first_class_pause_s is None else URGENT_OCCUPANCY
    )
    needed = (running + 1) / (slots * occupancy)
    share = min(MAX_SET_SHARE, max(MIN_SET_SHARE, needed / engines))
    selected: set[ids.EndpointId] = set()
    zones = sorted(endpoints_by_zone)
    for zone_index, zone in enumerate(zones):
        zone_engines = sorted(endpoints_by_zone[zone], key=_hash_of)
        # The zone's offset staggers the zones, so that a growing share adds
        # engines of one zone after the other.
        count = math.ceil(share * len(zone_engines) - zone_index / len(zones))
        selected.update(e.id for e in zone_engines[: max(1, count)])
    return frozenset(selected)
