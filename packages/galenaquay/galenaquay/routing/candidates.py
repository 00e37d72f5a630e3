"""Selects the endpoints that may take a request and explains the selection."""

from collections.abc import Sequence
import dataclasses

from .. import codes
from .. import ids
from ..configuration import documents
from ..membership import view as views
from . import policies


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Why one endpoint may or may not take a request."""

    endpoint_id: ids.EndpointId
    # Rank of the endpoint by the policy, from 1; 0 if the endpoint may not
    # take the request.
    place: int
    reasons: tuple[str, ...]


def fitting(
    document: documents.Document, route: documents.Route, tokens: int
) -> Sequence[documents.Endpoint] | codes.Failure:
    """Returns the endpoints in service whose memory can hold a request.

    Args:
        document: The configuration.
        route: The route of the request.
        tokens: Memory that the request needs, in tokens.

    Returns:
        The endpoints, none if the request is too long for every endpoint that
        the route selects; or a failure if the route selects no endpoint in
        service.
    """
    endpoints = selected(document, route)
    if not endpoints:
        return codes.failure(
            codes.Code.NO_ENDPOINT, f'route {route.name}', retry_after_s=1.0
        )
    if route.kind is documents.RouteKind.SERVICE:
        return endpoints
    if tokens <= document.least_capacity_by_route[ids.RouteName(route.name)]:
        return endpoints
    return [e for e in endpoints if e.capacity_tokens >= tokens]


def selected(
    document: documents.Document, route: documents.Route
) -> Sequence[documents.Endpoint]:
    """Returns the endpoints in service that a route selects."""
    return document.endpoints_by_route[ids.RouteName(route.name)]


def explain(
    view: views.View,
    policy_state: policies.PolicyState,
    policy_name: str,
    request: policies.RoutingRequest,
) -> list[Explanation]:
    """Returns each endpoint's rank and the reasons for and against it."""
    document = view.configs.document
    assert document is not None
    endpoints = fitting(document, request.route, request.tokens)
    ordered: Sequence[documents.Endpoint] = []
    if not isinstance(endpoints, codes.Failure) and endpoints:
        policy = policies.POLICIES_BY_NAME[policy_name]
        ordered = policy.order(policy_state, request, endpoints)
    ranks_by_id = {e.id: i for i, e in enumerate(ordered, start=1)}
    return [
        Explanation(
            ids.EndpointId(endpoint.id),
            ranks_by_id.get(endpoint.id, 0),
            tuple(_reasons(view, document, request, endpoint)),
        )
        for endpoint in document.endpoints
    ]


def _reasons(
    view: views.View,
    document: documents.Document,
    request: policies.RoutingRequest,
    endpoint: documents.Endpoint,
) -> list[str]:
    reasons = document.ineligibility_reasons(request.route, endpoint)
    if reasons:
        return reasons
    if endpoint.kind is documents.EndpointKind.SERVICE:
        return []
    if endpoint.capacity_tokens < request.tokens:
        return [f'holds {endpoint.capacity_tokens} tokens at the most']
    load = view.load_of(ids.EndpointId(endpoint.id))
    if load is None:
        return ['no load was heard lately']
    reasons = [f'{load.free_tokens} tokens free']
    if load.backlog_tokens:
        reasons.append(f'{load.backlog_tokens} prompt tokens wait')
    if load.is_cold:
        reasons.append('is cold')
    if not load.is_reachable:
        reasons.append('cannot be reached')
    return reasons
