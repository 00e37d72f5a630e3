"""Chooses the endpoint of a hedge, beside the first attempt of a request."""

from .. import ids
from . import admission
from . import dependencies as dependencies_module
from ..engines import workload as workload_module
from ..routing import placement as placement_module


def place_hedge(
    dependencies: dependencies_module.Dependencies,
    admitted: admission.AdmittedRequest,
    first: placement_module.Placement,
    excluded: frozenset[ids.EndpointId],
) -> placement_module.Placement | None:
    """Chooses the endpoint of a hedge; returns None if there is none.

    Args:
        dependencies: The objects that all requests share.
        admitted: The request.
        first: The placement of the attempt that runs.
        excluded: Other endpoints that do not get the request.
    """
    service = admitted.service
    available = dependencies.availability.available(service.name)
    loads = dependencies.workload.loads()
    no_load = workload_module.EndpointLoad()
    is_long = first.prefill_s > placement_module.MIN_SPLIT_PREFILL_S
    unsuitable = {
        endpoint.id
        for endpoint in available
        if dependencies.placer.is_cold(endpoint)
        or dependencies.named_limits.per_s(endpoint.id) is not None
        or not _has_free_capacity(
            loads.get(endpoint.id, no_load),
            endpoint.slots if service.engine is None else service.engine.slots,
            is_long=is_long,
        )
    }
    excluded |= {first.endpoint.id, *unsuitable}
    if service.engine is None:
        return dependencies.placer.place_call(service, excluded)
    engine = service.engine

    def place(
        excluded: frozenset[ids.EndpointId],
    ) -> placement_module.Placement | None:
        return dependencies.placer.place_prompt(
            admitted.request, admitted.route, service, engine, excluded
        )

    placement = place(excluded)
    if placement is None or not placement.helpers:
        return placement
    # The hedge is sent to the first engine of the group without helpers, so
    # that only one engine repeats the prefill.
    others = {e.id for e in available if e.id != placement.endpoint.id}
    return place(excluded | others)


def _has_free_capacity(
    load: workload_module.EndpointLoad,
    slots: int,
    *,
    is_long: bool,
) -> bool:
    """Returns whether a hedge would not wait for other requests.

    The placement sees to it that the engine has the memory for the prompt.

    Args:
        load: The load of the endpoint.
        slots: Number of requests that the endpoint runs at once.
        is_long: Whether the prompt is long, so that it must not be added to
            pending prefills.
    """
    return load.running < slots and not (is_long and load.prefill_s > 0)
