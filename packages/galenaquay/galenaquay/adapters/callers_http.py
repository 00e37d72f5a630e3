"""HTTP API for callers: completions, calls to services and health checks.

Validates requests and formats responses; the package `outcomes` executes the
requests.
"""

import asyncio
import hashlib
import hmac
import logging
import secrets
import time
from typing import Any, Final

from aiohttp import web

from .. import codes
from .. import ids
from .. import settings as settings_module
from . import caller_requests
from . import caller_responses
from ..configuration import documents
from ..limits import accounts as accounts_module
from ..limits import held as held_module
from ..membership import view as views
from . import metrics as metrics_module
from ..outcomes import completions as completions_module
from ..outcomes import requests
from ..outcomes import service_calls
from ..outcomes import tickets
from ..routing import bands
from ..streams import sinks
from . import tracing

LOG: Final = logging.getLogger(__name__)
IDEMPOTENCY_KEY_HEADER: Final = 'Idempotency-Key'
REQUEST_ID_HEADER: Final = 'X-Request-Id'
RESULT_CODE_HEADER: Final = 'X-Result-Code'
RAN_ON_HEADER: Final = 'X-Ran-On'
REPLAYED_HEADER: Final = 'X-Replayed'
_DONE: Final = b'data: [DONE]\n\n'


class CallerApi:
    """HTTP request handlers for callers."""

    # Whether new requests are admitted; false during a shutdown.
    admits_requests: bool

    def __init__(
        self,
        settings: settings_module.Settings,
        view: views.View,
        completions: completions_module.Completions,
        calls: service_calls.ServiceCalls,
        accounts: accounts_module.AccountLimiter,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.admits_requests = True
        self.in_progress = held_module.RequestsInProgress(settings.limits)
        self._limits = settings.limits
        self._view = view
        self._completions = completions
        self._calls = calls
        self._accounts = accounts
        self._metrics = metrics
        self._open_sinks: set[sinks.StreamSink] = set()
        # Completions in progress; a shutdown logs those that it cuts off at
        # the end of the grace period.
        self.running_ids: set[ids.RequestId] = set()

    def app(self) -> web.Application:
        """Returns the HTTP application with the routes for callers."""
        app = web.Application(
            client_max_size=self._limits.max_body_bytes,
            middlewares=[self._handle_failures],
        )
        app.add_routes(
            [
                web.get('/healthz', self.healthz),
                web.get('/readyz', self.readyz),
                web.post('/v1/completions', self.complete),
                web.post('/v1/chat/completions', self.complete),
                web.post('/v1/tickets', self.issue_ticket),
                web.route(
                    '*', '/v1/services/{route}/{path:.*}', self.call_service
                ),
            ]
        )
        return app

    # Health checks.

    async def healthz(self, request: web.Request) -> web.Response:
        """Reports that the process is alive."""
        return web.json_response({'status': 'running'})

    async def readyz(self, request: web.Request) -> web.Response:
        """Reports whether requests are admitted."""
        reason = self.not_ready_reason()
        status = 503 if reason else 200
        return web.json_response(
            {'ready': not reason, 'why': reason}, status=status
        )

    def not_ready_reason(self) -> str:
        """Returns why requests are not admitted, or '' if they are."""
        if not self.admits_requests:
            return 'shutting down'
        if self._view.configs.document is None:
            return 'no configuration in force'
        if self._view.lists.document is None:
            return 'no list of VMs'
        return ''

    # Error responses.

    @web.middleware
    async def _handle_failures(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        try:
            response: web.StreamResponse = await handler(request)
            return response
        except caller_requests.Refused as exc:
            return self._failure_response(request, exc.failure)
        except web.HTTPRequestEntityTooLarge:
            failure = codes.failure(codes.Code.BODY_TOO_LARGE)
            return self._failure_response(request, failure)

    def _failure_response(
        self, request: web.Request, failure: codes.Failure
    ) -> web.Response:
        self._metrics.count_request(failure.code)
        headers = {RESULT_CODE_HEADER: str(int(failure.code))}
        if failure.retry_after_s:
            headers['Retry-After'] = str(max(1, round(failure.retry_after_s)))
        LOG.info(
            'request refused',
            extra={
                'path': request.path,
                **caller_responses.log_fields(failure),
            },
        )
        return web.json_response(
            caller_responses.failure_body(failure),
            status=failure.row.http_status,
            headers=headers,
        )

    # Authentication, admission and request bodies.

    def _authenticate(self, request: web.Request) -> documents.Account:
        document = self._view.configs.document
        if document is None:
            raise caller_requests.Refused(codes.failure(codes.Code.NOT_READY))
        scheme, _, key = request.headers.get('Authorization', '').partition(
            ' '
        )
        digest = hashlib.sha256(key.encode()).hexdigest()
        account = document.accounts_by_key_sha256.get(digest)
        if scheme != 'Bearer' or account is None:
            raise caller_requests.Refused(
                codes.failure(codes.Code.UNKNOWN_ACCOUNT)
            )
        if not hmac.compare_digest(digest, account.key_sha256):
            raise caller_requests.Refused(
                codes.failure(codes.Code.UNKNOWN_ACCOUNT)
            )
        return account

    def _admit(self, request: web.Request) -> documents.Account:
        if not self.admits_requests:
            raise caller_requests.Refused(
                codes.failure(codes.Code.ENTRY_LEAVING, '', 1.0)
            )
        account = self._authenticate(request)
        refused = self.in_progress.refusal(
            ids.AccountId(account.id), request.content_length or 0
        )
        if refused is not None:
            raise caller_requests.Refused(refused)
        return account

    async def _read_body(self, request: web.Request) -> bytes:
        try:
            async with asyncio.timeout(self._limits.body_s):
                return await request.read()
        except TimeoutError:
            raise caller_requests.Refused(
                codes.failure(codes.Code.REQUEST_TOO_SLOW)
            ) from None
        except ConnectionError as exc:
            raise caller_requests.Refused(
                codes.failure(codes.Code.MALFORMED_REQUEST, str(exc))
            ) from None

    # Completions.

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serves a completion, as an event stream or as one JSON object."""
        account = self._admit(request)
        account_id = ids.AccountId(account.id)
        started_at_s = time.monotonic()
        size = request.content_length or 0
        with self.in_progress.track(account_id, size):
            body = await self._read_body(request)
            completion = self._parse_completion(request, account_id, body)
            del body
            refused = await self._accounts.admit(account, completion.tokens)
            if refused is not None:
                raise caller_requests.Refused(refused)
            with tracing.entry_span(
                'entry',
                completion.traceparent,
                request_id=completion.request_id,
                account=account_id,
                route=completion.route.name,
                prompt_tokens=completion.prompt_tokens,
            ):
                self.running_ids.add(completion.request_id)
                try:
                    return await self._respond(
                        request, completion, started_at_s
                    )
                finally:
                    self.running_ids.discard(completion.request_id)

    async def _respond(
        self,
        request: web.Request,
        completion: requests.Completion,
        started_at_s: float,
    ) -> web.StreamResponse:
        if completion.body.get('stream'):
            return await self._stream(request, completion, started_at_s)
        return await self._collect(request, completion, started_at_s)

    def _parse_completion(
        self, request: web.Request, account_id: ids.AccountId, raw: bytes
    ) -> requests.Completion:
        document = self._view.configs.document
        assert document is not None
        body = caller_requests.parse_object(raw)
        route = document.routes_by_name.get(
            ids.RouteName(caller_requests.parse_model(body))
        )
        if route is None or route.kind is not documents.RouteKind.MODEL:
            raise caller_requests.Refused(
                codes.failure(
                    codes.Code.UNKNOWN_ROUTE, caller_requests.parse_model(body)
                )
            )
        is_chat = request.path.startswith('/v1/chat')
        prompt = caller_requests.parse_prompt(body, is_chat)
        body['max_tokens'] = caller_requests.parse_max_tokens(body, route)
        return requests.Completion(
            request_id=ids.RequestId(secrets.token_hex(8)),
            account_id=account_id,
            route=route,
            body=body,
            is_chat=is_chat,
            prompt=prompt,
            prompt_tokens=bands.estimate_tokens(len(prompt.encode())),
            max_tokens=body['max_tokens'],
            deadline_s=time.monotonic()
            + caller_requests.parse_timeout_s(request, route),
            traceparent=request.headers.get('traceparent', ''),
        )

    async def _stream(
        self,
        request: web.Request,
        completion: requests.Completion,
        started_at_s: float,
    ) -> web.StreamResponse:
        headers = {
            REQUEST_ID_HEADER: completion.request_id,
            'Cache-Control': 'no-store',
        }
        sink = sinks.StreamSink(request, headers, self._limits.reader_pause_s)
        self._open_sinks.add(sink)
        try:
            return await self._serve_stream(
                request, completion, sink, started_at_s
            )
        finally:
            self._open_sinks.discard(sink)

    def stream_bytes(self) -> int:
        """Returns the bytes that are buffered for callers of open streams."""
        return sum(sink.held_bytes() for sink in self._open_sinks)

    async def _serve_stream(
        self,
        request: web.Request,
        completion: requests.Completion,
        sink: sinks.StreamSink,
        started_at_s: float,
    ) -> web.StreamResponse:
        failure = await self._completions.serve(completion, sink)
        self._record_end(completion, failure, started_at_s)
        if failure is not None and not sink.is_started:
            return self._failure_response(request, failure)
        if failure is None:
            await sink.end(caller_responses.ran_on_comment(completion) + _DONE)
        elif failure.code is not codes.Code.CALLER_LEFT:
            await sink.end(
                caller_responses.event(caller_responses.failure_body(failure))
                + _DONE
            )
        return sink.response

    async def _collect(
        self,
        request: web.Request,
        completion: requests.Completion,
        started_at_s: float,
    ) -> web.Response:
        sink = sinks.CollectSink()
        failure = await self._completions.serve(completion, sink)
        self._record_end(completion, failure, started_at_s)
        if failure is not None:
            return self._failure_response(request, failure)
        data = bytes(sink.data)
        return web.json_response(
            caller_responses.completion_response(completion, data),
            headers={
                REQUEST_ID_HEADER: completion.request_id,
                RESULT_CODE_HEADER: '0',
                RAN_ON_HEADER: ','.join(completion.ran_on),
            },
        )

    def _record_end(
        self,
        completion: requests.Completion,
        failure: codes.Failure | None,
        started_at_s: float,
    ) -> None:
        took_ms = (time.monotonic() - started_at_s) * 1000
        fields = caller_responses.log_fields(failure)
        if failure is None:
            self._metrics.count_request(codes.Code.OK)
            self._metrics.record_duration(metrics_module.DURATION_MS, took_ms)
        if completion.first_token_at_s is not None:
            ttft_ms = (completion.first_token_at_s - started_at_s) * 1000
            self._metrics.record_duration(metrics_module.TTFT_MS, ttft_ms)
            fields['ttft_ms'] = round(ttft_ms, 1)
        LOG.info(
            'request ended',
            extra={
                'request_id': completion.request_id,
                'account': completion.account_id,
                'route': completion.route.name,
                'prompt_tokens': completion.prompt_tokens,
                'tokens': completion.offset,
                'attempts': completion.attempt,
                'ran_on': list(completion.ran_on),
                'took_ms': round(took_ms, 1),
                **fields,
            },
        )

    # Calls to services.

    async def issue_ticket(self, request: web.Request) -> web.Response:
        """Issues a ticket for one non-idempotent call to a service."""
        account = self._admit(request)
        ticket = self._calls.home.issue(ids.AccountId(account.id))
        if isinstance(ticket, codes.Failure):
            raise caller_requests.Refused(ticket)
        return web.json_response({'ticket': str(ticket)}, status=201)

    async def call_service(self, request: web.Request) -> web.Response:
        """Forwards a call to a service and returns the response."""
        account = self._admit(request)
        account_id = ids.AccountId(account.id)
        route = self._service_route(request)
        with self.in_progress.track(account_id, request.content_length or 0):
            body = await self._read_body(request)
            call = self._parse_service_call(request, account_id, route, body)
            with tracing.entry_span(
                'service',
                call.traceparent,
                account=account_id,
                route=route.name,
            ):
                if route.idempotent:
                    outcome = await self._calls.call_idempotent(call)
                else:
                    outcome = await self._calls.call_once(call)
        return self._service_response(request, call, outcome)

    def _service_route(self, request: web.Request) -> documents.Route:
        document = self._view.configs.document
        assert document is not None
        name = ids.RouteName(request.match_info['route'])
        route = document.routes_by_name.get(name)
        if route is None or route.kind is not documents.RouteKind.SERVICE:
            raise caller_requests.Refused(
                codes.failure(codes.Code.UNKNOWN_ROUTE, name)
            )
        if request.method not in service_calls.METHODS:
            raise caller_requests.Refused(
                codes.failure(codes.Code.MALFORMED_REQUEST, request.method)
            )
        return route

    def _parse_service_call(
        self,
        request: web.Request,
        account_id: ids.AccountId,
        route: documents.Route,
        body: bytes,
    ) -> tickets.CallRequest:
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        if not route.idempotent and not key:
            raise caller_requests.Refused(
                codes.failure(codes.Code.TICKET_REQUIRED)
            )
        ticket = tickets.Ticket(self._view.me, 0)
        if not route.idempotent:
            parsed = tickets.parse_ticket(key)
            if isinstance(parsed, codes.Failure):
                raise caller_requests.Refused(parsed)
            ticket = parsed
        return tickets.CallRequest(
            ticket=ticket,
            account_id=account_id,
            route=ids.RouteName(route.name),
            method=request.method,
            path='/' + request.match_info['path'],
            body=body,
            content_type=request.content_type,
            remaining_s=caller_requests.parse_timeout_s(request, route),
            traceparent=request.headers.get('traceparent', ''),
        )

    def _service_response(
        self,
        request: web.Request,
        call: tickets.CallRequest,
        outcome: tickets.Outcome,
    ) -> web.Response:
        if isinstance(outcome, codes.Failure):
            return self._failure_response(request, outcome)
        self._metrics.count_request(codes.Code.OK)
        LOG.info(
            'call ended',
            extra={
                'account': call.account_id,
                'route': call.route,
                'ticket': str(call.ticket),
                'status': outcome.response.status,
                **caller_responses.log_fields(None),
            },
        )
        headers = {RESULT_CODE_HEADER: '0'}
        if outcome.is_replayed:
            headers[REPLAYED_HEADER] = 'true'
        return web.Response(
            status=outcome.response.status,
            body=outcome.response.body,
            content_type=outcome.response.content_type,
            headers=headers,
        )
