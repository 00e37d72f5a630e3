"""`bench costs`: time of single operations, by size of the fleet.

Measures one routing decision, one memory grant and one acceptance of a
configuration, at several sizes up to the design size. Runs in the process of
the benchmark, without other processes.
"""

from collections.abc import Callable
import gc
import time
from typing import Any, Final

from galenaquay.configuration import documents
from galenaquay.configuration import versions
from galenaquay import ids
from galenaquay.limits import ledger
from galenaquay.limits import shares
from galenaquay.membership import view as views
from galenaquay.routing import policies
from galenaquay_standins import deployments
import orjson
import psutil

from . import control
from . import registry

# Number of engines of the configuration: in one zone today, in one zone of the
# design size and in the whole fleet of the design size.
ENGINES: Final = (25, 118, 1300)
# Number of accounts of the configuration, for each number of engines.
ACCOUNTS: Final = (10, 1000, 4200)
# Number of grants that an engine already has when one more grant is measured.
RUNNING_GRANTS: Final = (0, 100, 400)
# Number of calls of which the median time is taken.
ROUNDS: Final = 400
MICROSECONDS_PER_SECOND: Final = 1e6
POLICY: Final = 'estimate'
# Largest ratio of the time of a routing decision at 1,300 engines to the time
# at 118 engines.
MAX_GROWTH: Final = 2.0


def _median_us(function: Callable[[], Any], rounds: int = ROUNDS) -> float:
    """Returns the median time of a call, in microseconds."""
    durations_s: list[float] = []
    gc.disable()
    for _ in range(rounds):
        started_s = time.perf_counter()
        function()
        durations_s.append(time.perf_counter() - started_s)
    gc.enable()
    return sorted(durations_s)[len(durations_s) // 2] * MICROSECONDS_PER_SECOND


def _config(engines: int, accounts: int) -> dict[str, Any]:
    body = deployments.config(deployments.VAKALOLOMA, deployments.Ports(21000))
    template = body['endpoints'][0]
    body['endpoints'] = [
        {**template, 'id': f'e{n}', 'zone': body['zones'][n % 3]['name']}
        for n in range(engines)
    ]
    body['accounts'] = [
        {'id': f'a{n}', 'key_sha256': f'{n:064x}'} for n in range(accounts)
    ]
    return body


def _measure_routing_us(engines: int, seed: int) -> float:
    holder = shares.ProcessId(ids.VmId('a'), ids.Incarnation(1))
    view = views.View(holder, ids.ZoneName('lautoka'))
    view.configs.offer(orjson.dumps(_config(engines, 10)))
    document = view.configs.document
    assert document is not None
    for endpoint in document.endpoints:
        view.set_load(
            views.Load(
                endpoint_id=ids.EndpointId(endpoint.id),
                free_tokens=endpoint.capacity_tokens,
                backlog_tokens=0,
                short_backlog_tokens=0,
                waiting=0,
                streams=0,
                is_cold=False,
                is_reachable=True,
                heard_at_s=view.clock(),
            )
        )
    policy_state = policies.PolicyState(view, seed)
    route = document.routes_by_name[ids.RouteName('question')]
    candidates = document.endpoints_by_route[ids.RouteName('question')]
    routing_request = policies.RoutingRequest(route, 2000, 2100, view.zone)
    order = policies.POLICIES_BY_NAME[POLICY].order
    return _median_us(lambda: order(policy_state, routing_request, candidates))


def _measure_grant_us(running: int) -> float:
    """Returns the median time to grant memory and release it again.

    Args:
        running: Number of other grants on the same engine.
    """
    holder = shares.ProcessId(ids.VmId('a'), ids.Incarnation(1))
    engine_ledger = ledger.Ledger(holder)
    engine = ids.EndpointId('e')
    for slot in shares.Slot:
        engine_ledger.take_over(
            shares.ShareKey(engine, slot), 225_000, [], 0.0
        )
    now_s = 2 * ledger.LENDER_LEASE_S
    engine_ledger.reconcile(engine, [], now_s)
    for _ in range(running):
        assert engine_ledger.grant(engine, 500, holder, now_s) is not None

    def grant_and_release() -> None:
        grant = engine_ledger.grant(engine, 500, holder, now_s)
        assert grant is not None
        engine_ledger.release(grant.grant_id)

    return _median_us(grant_and_release)


def _measure_acceptance(engines: int, accounts: int) -> tuple[float, int, int]:
    """Measures the acceptance of one configuration.

    Returns:
        The time in milliseconds, the growth of resident memory in bytes and
        the size of the configuration in bytes.
    """
    body = orjson.dumps(_config(engines, accounts))
    gc.collect()
    before = psutil.Process().memory_info().rss
    in_force = versions.DocumentInForce(documents.Document)
    started_s = time.perf_counter()
    in_force.offer(body)
    assert in_force.document is not None
    in_force.document.endpoints_by_route.keys()
    duration_s = time.perf_counter() - started_s
    rss_growth = psutil.Process().memory_info().rss - before
    return duration_s * 1000, rss_growth, len(body)


@registry.bench('costs', registry.Target('routing_growth', '<=', MAX_GROWTH))
def run(options: registry.Options) -> registry.Figures:
    """Measures the time of single operations, by size of the fleet."""
    routing = {n: _measure_routing_us(n, options.seed) for n in ENGINES}
    sizes = list(zip(ENGINES, ACCOUNTS))
    accepted = {f'{e}x{a}': _measure_acceptance(e, a) for e, a in sizes}
    assert control.DESIGN_ENDPOINTS == ENGINES[-1]
    return {
        'routing_us': {str(n): round(us, 1) for n, us in routing.items()},
        'routing_growth': round(routing[1300] / routing[118], 2),
        'grant_us': {
            str(n): round(_measure_grant_us(n), 1) for n in RUNNING_GRANTS
        },
        'acceptance_ms': {n: round(a[0], 1) for n, a in accepted.items()},
        'acceptance_rss_bytes': {n: a[1] for n, a in accepted.items()},
        'document_bytes': {n: a[2] for n, a in accepted.items()},
    }
