"""Read-only HTTP API for operators: status and routing decisions."""

from collections.abc import Callable
import dataclasses
from typing import Any

from aiohttp import web

from .. import ids
from ..configuration import documents
from ..limits import held as held_module
from ..limits import owner as owners
from ..limits import shares
from ..membership import view as views
from ..routing import candidates
from ..routing import policies


class OperatorApi:
    """HTTP handlers for `galenaquayctl status` and `galenaquayctl explain`."""

    def __init__(
        self,
        view: views.View,
        owner: owners.Owner,
        in_progress: held_module.RequestsInProgress,
        stream_bytes: Callable[[], int],
        policy_state: policies.PolicyState,
        policy_name: str,
    ) -> None:
        self._view = view
        self._owner = owner
        self._ledger = owner.ledger
        self._in_progress = in_progress
        self._stream_bytes = stream_bytes
        self._policy_state = policy_state
        self._policy_name = policy_name

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes for operators to an application."""
        app.add_routes(
            [
                web.get('/operator/status', self.status),
                web.get('/operator/explain', self.explain),
            ]
        )

    async def status(self, request: web.Request) -> web.Response:
        """Returns the state of this VM and its view of peers and engines."""
        view = self._view
        return web.json_response(
            {
                'vm': view.me.vm_id,
                'incarnation': view.me.incarnation,
                'zone': view.zone,
                'leaving': view.is_leaving,
                'config_version': view.configs.version,
                'list_version': view.lists.version,
                'refusals': view.configs.refusals + view.lists.refusals,
                'watcher': view.is_watcher(),
                'requests': self._in_progress.requests,
                'body_bytes': self._in_progress.body_bytes,
                'stream_bytes': self._stream_bytes(),
                'peers': [self._peer(p) for p in view.peers_by_id.values()],
                'shares': [
                    self._share(s) for s in self._ledger.shares_by_key.values()
                ],
                'owned': self._owned_engines(),
                'engines': [
                    dataclasses.asdict(load)
                    for load in view.loads_by_endpoint.values()
                ],
                'zones': self._zones(),
            }
        )

    def _peer(self, peer: views.PeerState) -> dict[str, Any]:
        return {
            'vm': peer.vm_id,
            'status': self._view.status_of(peer.vm_id).value,
            'config_version': peer.config_version,
            'list_version': peer.list_version,
        }

    def _share(self, share: shares.Share) -> dict[str, Any]:
        now_s = self._view.clock()
        endpoint_id = share.key.endpoint_id
        return {
            'endpoint': endpoint_id,
            'slot': share.key.slot.name,
            'tokens': share.size_tokens,
            'debit_tokens': share.debit_tokens,
            'lent_to': share.lease.borrower.vm_id if share.lease else '',
            'free_tokens': self._ledger.free_tokens(endpoint_id, now_s),
        }

    def _owned_engines(self) -> list[dict[str, Any]]:
        """Returns the state of each engine of which this VM holds a share."""
        endpoint_ids = {key.endpoint_id for key in self._ledger.shares_by_key}
        return [
            {
                'endpoint': endpoint_id,
                'is_first': shares.ShareKey(endpoint_id, shares.Slot.FIRST)
                in self._ledger.shares_by_key,
                'is_cold': self._owner.state_of(endpoint_id).is_cold,
                'waiting': self._owner.waiting_count(endpoint_id),
            }
            for endpoint_id in sorted(endpoint_ids)
        ]

    def _zones(self) -> list[dict[str, Any]]:
        document = self._view.configs.document
        if document is None:
            return []
        return [
            {
                'zone': zone.name,
                'region': zone.region,
                'labels': zone.labels,
                'endpoints': self._count_endpoints(document, zone.name, False),
                'in_service': self._count_endpoints(document, zone.name, True),
            }
            for zone in document.zones
        ]

    def _count_endpoints(
        self, document: documents.Document, zone: str, is_serving: bool
    ) -> int:
        return sum(
            1
            for e in document.endpoints
            if e.zone == zone
            and (not is_serving or document.serves(ids.EndpointId(e.id)))
        )

    async def explain(self, request: web.Request) -> web.Response:
        """Lists which endpoints may serve a request and why others may not."""
        document = self._view.configs.document
        if document is None:
            raise web.HTTPServiceUnavailable()
        name = ids.RouteName(request.query.get('route', ''))
        route = document.routes_by_name.get(name)
        if route is None:
            raise web.HTTPNotFound(text=f'no route {name}')
        tokens = int(request.query.get('tokens', '1000'))
        account = ids.AccountId(request.query.get('account', ''))
        if account and account not in document.accounts_by_id:
            raise web.HTTPNotFound(text=f'no account {account}')
        routing_request = policies.RoutingRequest(
            route, tokens, tokens, self._view.zone
        )
        explanations = candidates.explain(
            self._view, self._policy_state, self._policy_name, routing_request
        )
        return web.json_response([dataclasses.asdict(e) for e in explanations])
