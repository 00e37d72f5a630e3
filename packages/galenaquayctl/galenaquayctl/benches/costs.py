"""`bench costs`: what single decisions cost as the fleet grows.

Times one routing decision, one grant and one acceptance of a configuration
at today's sizes and at the letter's, in this process alone.
"""

from collections.abc import Callable
import gc
import time
from typing import Any, Final

from galenaquay.configuration import documents
from galenaquay.configuration import versions
from galenaquay import ids
from galenaquay.limits import ledger
from galenaquay.membership import view as views
from galenaquay.routing import policies
from galenaquay_standins import deployments
import orjson
import psutil

from . import control
from . import registry

# Engines of one zone today, of one zone and of the fleet at the letter's size.
ENGINES: Final = (25, 118, 1300)
ACCOUNTS: Final = (10, 1000, 4200)
# Grants that run on one engine while another is asked for.
RUNNING: Final = (0, 100, 400)
ROUNDS: Final = 400
MICROSECONDS: Final = 1e6
POLICY: Final = 'estimate'
# What a decision may cost more at 1,300 engines than at 118.
MAX_GROWTH: Final = 2.0


def _best_us(work: Callable[[], Any], rounds: int = ROUNDS) -> float:
    """Returns the median time of a call, in microseconds."""
    took: list[float] = []
    gc.disable()
    for _ in range(rounds):
        started_s = time.perf_counter()
        work()
        took.append(time.perf_counter() - started_s)
    gc.enable()
    return sorted(took)[len(took) // 2] * MICROSECONDS


def _config(engines: int, accounts: int) -> dict[str, Any]:
    body = deployments.config(deployments.VAKALOLOMA, deployments.Ports(21000))
    pattern = body['endpoints'][0]
    body['endpoints'] = [
        {**pattern, 'id': f'e{n}', 'zone': body['zones'][n % 3]['name']}
        for n in range(engines)
    ]
    body['accounts'] = [
        {'id': f'a{n}', 'key_sha256': f'{n:064x}'} for n in range(accounts)
    ]
    return body


def _routing_us(engines: int, seed: int) -> float:
    me = ledger.ProcessId(ids.VmId('a'), ids.Incarnation(1))
    view = views.View(me, ids.ZoneName('lautoka'))
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
    return _best_us(lambda: order(policy_state, routing_request, candidates))


def _grant_us(running: int) -> float:
    """Times a grant and its return beside others on the same engine."""
    me = ledger.ProcessId(ids.VmId('a'), ids.Incarnation(1))
    books = ledger.Ledger(me)
    engine = ids.EndpointId('e')
    for slot in ledger.Slot:
        books.take_over(ledger.ShareKey(engine, slot), 225_000, [], 0.0)
    now_s = 2 * ledger.LENDER_LEASE_S
    books.reconcile(engine, [], now_s)
    for _ in range(running):
        assert books.grant(engine, 500, me, now_s) is not None

    def once() -> None:
        grant = books.grant(engine, 500, me, now_s)
        assert grant is not None
        books.release(grant.grant_id)

    return _best_us(once)


def _acceptance(engines: int, accounts: int) -> tuple[float, int, int]:
    """Returns time in ms, growth of memory and bytes of one document."""
    body = orjson.dumps(_config(engines, accounts))
    gc.collect()
    before = psutil.Process().memory_info().rss
    in_force = versions.DocumentInForce(documents.Document)
    started_s = time.perf_counter()
    in_force.offer(body)
    assert in_force.document is not None
    in_force.document.endpoints_by_route.keys()
    took_s = time.perf_counter() - started_s
    grown = psutil.Process().memory_info().rss - before
    return took_s * 1000, grown, len(body)


@registry.bench('costs', registry.Target('routing_growth', '<=', MAX_GROWTH))
def run(options: registry.Options) -> registry.Figures:
    """Times decisions at growing sizes."""
    routing = {n: _routing_us(n, options.seed) for n in ENGINES}
    sizes = list(zip(ENGINES, ACCOUNTS))
    accepted = {f'{e}x{a}': _acceptance(e, a) for e, a in sizes}
    assert control.DESIGN_ENDPOINTS == ENGINES[-1]
    return {
        'routing_us': {str(n): round(us, 1) for n, us in routing.items()},
        'routing_growth': round(routing[1300] / routing[118], 2),
        'grant_us': {str(n): round(_grant_us(n), 1) for n in RUNNING},
        'acceptance_ms': {n: round(a[0], 1) for n, a in accepted.items()},
        'acceptance_rss_bytes': {n: a[1] for n, a in accepted.items()},
        'document_bytes': {n: a[2] for n, a in accepted.items()},
    }
