"""Builds the parts of the entry process and runs it until a stop signal."""

import asyncio
import gc
import logging
import signal
import socket
from typing import Any, Final

from aiohttp import web
import aiomisc
import grpclib.server

from . import codes
from . import ids
from . import settings as settings_module
from . import tasks
from .adapters import callers_http
from .adapters import engine_http
from .adapters import metrics as metrics_module
from .adapters import operators_http
from .adapters import peers_grpc
from .adapters import platform_http
from .adapters import service_http
from .configuration import documents
from .configuration import watch as document_watch
from .engines import watch as engine_watch
from .limits import accounts as accounts_module
from .limits import budgets
from .limits import claims as claims_module
from .limits import grants as grants_module
from .limits import ledger
from .limits import owner as owner_module
from .limits import shares
from .membership import heartbeats as heartbeats_module
from .membership import incarnations
from .membership import view as views
from .outcomes import attempts as attempts_module
from .outcomes import completions as completions_module
from .outcomes import service_calls
from .ports import platform as platform_port
from .routing import policies

LOG: Final = logging.getLogger(__name__)
# Interval between checks whether all requests have ended, in seconds.
DRAIN_CHECK_INTERVAL_S: Final = 0.05
# Threshold of the youngest generation of the garbage collector: allocations
# minus deallocations since its last collection.
GC_THRESHOLD_OBJECTS: Final = 20_000
# Send buffer of a connection to a caller, in bytes. The kernel adds its own
# overhead to this.
SEND_BUFFER_BYTES: Final = 32 * 1024


class Entry:
    """Creates and connects all parts of one entry process."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        me = shares.ProcessId(
            settings.typed_vm_id, incarnations.draw_incarnation()
        )
        self.view = views.View(me, settings.typed_zone)
        self.ledger = ledger.Ledger(me)
        self.peers = peers_grpc.GrpcPeers()
        self.engines = engine_http.HttpEngines()
        self.services = service_http.HttpServices()
        self.platform = platform_http.HttpPlatform(settings.platform.url)
        self.metrics = metrics_module.Metrics(settings.telemetry.statsd)
        self.owner = owner_module.Owner(
            self.ledger, self.endpoint_of, self.is_serving
        )
        self.engine_watch = engine_watch.EngineWatch(
            self.view, self.owner, self.engines
        )
        self.grants = grants_module.GrantClient(
            self.view, self.owner, self.engine_watch, self.peers, self.engines
        )
        self.claims = claims_module.ShareClaimer(
            self.view, self.ledger, self.peers
        )
        self.heartbeats = heartbeats_module.Heartbeats(
            self.view,
            self.ledger,
            self.peers,
            self.engine_watch.published_loads,
            [str(address) for address in settings.known_peers],
        )
        self.policy_state = policies.PolicyState(self.view, me.incarnation)
        retry_budgets = budgets.RetryBudgets()
        self.calls = service_calls.ServiceCalls(
            self.view, self.services, self.peers, retry_budgets
        )
        attempts = attempts_module.Attempts(
            self.grants,
            self.engines,
            self.policy_state,
            settings.policy,
            settings.typed_zone,
        )
        completions = completions_module.Completions(
            self.view, attempts, retry_budgets
        )
        self.accounts = accounts_module.AccountLimiter(self.view, self.peers)
        self.callers = callers_http.CallerApi(
            settings,
            self.view,
            completions,
            self.calls,
            self.accounts,
            self.metrics,
        )

    def endpoint_of(
        self, endpoint_id: ids.EndpointId
    ) -> documents.Endpoint | None:
        """Returns an endpoint of the configuration in force."""
        document = self.view.configs.document
        if document is None:
            return None
        return document.endpoints_by_id.get(endpoint_id)

    def is_serving(self, endpoint_id: ids.EndpointId) -> bool:
        """Tells whether an endpoint may receive new requests."""
        document = self.view.configs.document
        return document is not None and document.serves(endpoint_id)

    def app(self) -> web.Application:
        """Builds the application for callers and operators."""
        app = self.callers.app()
        operators_http.OperatorApi(
            self.view,
            self.owner,
            self.callers.in_progress,
            self.callers.stream_bytes,
            self.policy_state,
            self.settings.policy,
        ).add_routes(app)
        return app

    def peer_handlers(self) -> list[Any]:
        """Returns the gRPC handlers for calls of other entry processes."""
        return [
            peers_grpc.PeerServer(self.heartbeats, self.claims),
            peers_grpc.OwnerServer(self.owner, self.grants, self.endpoint_of),
            peers_grpc.HomeServer(self.calls.home),
            peers_grpc.AccountsServer(self.accounts),
        ]

    def watch(self, kind: platform_port.Kind) -> document_watch.DocumentWatch:
        """Returns the watch on one kind of document."""
        return document_watch.DocumentWatch(
            kind,
            self.view,
            self.platform,
            self.settings.platform.watch_s,
            self.heartbeats.send_now,
        )

    async def close(self) -> None:
        """Closes every connection."""
        self.peers.close()
        await self.engines.close()
        await self.platform.close()


class EntryService(aiomisc.Service):
    """Runs the servers and the background tasks of an entry process."""

    entry: Entry

    async def start(self) -> None:
        """Starts the peer server, the background tasks and the caller API."""
        settings = self.entry.settings
        # The peer server starts before this process claims any share: peers
        # take a refused connection as proof that no entry process runs here.
        self._peer_server = grpclib.server.Server(self.entry.peer_handlers())
        await self._peer_server.start(settings.peers.host, settings.peers.port)
        # The platform may return a configuration that is older than the one
        # in force on the peers.
        await self.entry.heartbeats.catch_up_with_known()
        self._tasks = [
            tasks.start(coroutine, name)
            for name, coroutine in self._background_coroutines().items()
        ]
        self._runner = web.AppRunner(
            self.entry.app(), access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        site = web.SockSite(
            self._runner, _open_socket(settings.callers), shutdown_timeout=0
        )
        await site.start()
        LOG.info('serving callers at %s', settings.callers)

    def _background_coroutines(self) -> dict[str, Any]:
        entry = self.entry
        return {
            'config': entry.watch(platform_port.Kind.CONFIG).run(),
            'vms': entry.watch(platform_port.Kind.VMS).run(),
            'heartbeats': entry.heartbeats.run(),
            'claims': entry.claims.run(),
            'accounts': accounts_module.track_list_changes(
                entry.view, entry.accounts
            ),
            'engines': entry.engine_watch.run(),
        }

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancels the tasks and closes the servers and connections."""
        for task in self._tasks:
            task.cancel()
        await self._runner.cleanup()
        await self.entry.grants.drain()
        self._peer_server.close()
        await self._peer_server.wait_closed()
        await self.entry.close()


def _open_socket(address: settings_module.Address) -> socket.socket:
    """Opens the callers' listening socket with a limited send buffer."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit this option.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.bind((address.host, address.port))
    return listener


class GracefulShutdown:
    """Shuts the entry process down gracefully after a stop signal."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._first_signal = asyncio.Event()
        self._second_signal = asyncio.Event()

    def install_signal_handlers(self) -> None:
        """Handles SIGTERM and SIGINT; the second ends the grace period."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)

    def _on_signal(self) -> None:
        if self._first_signal.is_set():
            self._second_signal.set()
        self._first_signal.set()

    async def wait(self) -> None:
        """Waits for a stop signal and then for the requests in progress.

        Returns when all requests have ended and the memory of engines is
        handed over, when the grace period has passed, or at a second signal.
        Requests that are still running then are logged as cut.
        """
        await self._first_signal.wait()
        entry = self._entry
        LOG.info(
            'shutting down', extra={'requests': self._requests_in_progress()}
        )
        entry.callers.admits_requests = False
        entry.calls.home.close()
        entry.view.is_leaving = True
        entry.heartbeats.send_now()
        await self._drain(entry.settings.limits.grace_s)
        for request_id in sorted(entry.callers.running_ids):
            LOG.warning(
                'request cut',
                extra={
                    'request_id': request_id,
                    'code': int(codes.Code.SHUTDOWN_CUT),
                    'result': codes.Code.SHUTDOWN_CUT.name,
                },
            )

    def _requests_in_progress(self) -> int:
        return self._entry.callers.in_progress.requests

    async def _drain(self, grace_s: float) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + grace_s
        while loop.time() < deadline_s and not self._second_signal.is_set():
            if not self._requests_in_progress() and self._is_handed_over():
                return
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _is_handed_over(self) -> bool:
        """Tells whether this process has nothing left to hand over.

        This holds if the process has no grants and no shares of engines'
        memory. Shares do not count if no peer is alive that could take them
        over.
        """
        if self._entry.ledger.grants_by_id:
            return False
        return not self._entry.ledger.shares_by_key or not any(
            self._entry.view.status_of(vm_id) is views.PeerStatus.ALIVE
            for vm_id in self._entry.view.peers_by_id
        )


def run(settings: settings_module.Settings) -> None:
    """Runs the entry process until it is stopped."""
    # Imported objects live as long as the process. Freezing excludes them from
    # garbage collection, whose repeated scans would delay streams.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
        loop.run_until_complete(_run(settings))


async def _run(settings: settings_module.Settings) -> None:
    entry = Entry(settings)
    service = EntryService(entry=entry)
    shutdown = GracefulShutdown(entry)
    shutdown.install_signal_handlers()
    await service.start()
    await shutdown.wait()
    await service.stop()
