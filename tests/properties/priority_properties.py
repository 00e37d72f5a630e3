"""Properties of priority classes and of the sums of waiting requests."""

import random

from galenaquay.configuration import priorities
from galenaquay.configuration import routes
from galenaquay.engines import directory
from galenaquay import ids
from galenaquay.ports import exchange
from galenaquay_platform import headers
from hypothesis import given
from hypothesis import strategies as st

from tests.properties import fleet_properties
from tests.properties import path_properties

RUNS = path_properties.RUNS
POOL = ids.ServiceName('models')
PLAIN = ids.ServiceName('ledger')
TIMES = routes.EngineTimes(8, 450_000, 1.0, 0.01, 0.01, 2e5, 0.1, 46, 1500)
PRIORITIES = st.integers(0, 20)


def make_route(name, priority, service=POOL, is_public=False):
    return routes.Route(
        ids.RouteName(name),
        'shop.example',
        f'/{name}/',
        routes.RequestKind.STREAMING,
        10.0,
        0.3,
        (routes.Backend(service, 1.0),),
        2,
        is_public,
        True,
        0.2,
        priority,
    )


def make_table(made_routes, account_priorities=()):
    accounts = {f'a{i}': p for i, p in enumerate(account_priorities)}
    return routes.RouteTable(
        1,
        routes.routes_by_host(made_routes),
        {
            POOL: routes.Service(POOL, 0.0, TIMES),
            PLAIN: routes.Service(PLAIN, 0.0, None),
        },
        {ids.ApiKey(f'key of {a}'): ids.AccountId(a) for a in accounts},
        routes.RequestLimits(),
        bool(accounts),
        {ids.AccountId(a): p for a, p in accounts.items() if p is not None},
    )


@RUNS
@given(
    st.lists(PRIORITIES, min_size=1, max_size=5),
    st.lists(st.one_of(st.none(), PRIORITIES), max_size=4),
)
def check_priority_classes(route_priorities, account_priorities):
    """A request never has a class before that of a more urgent request.

    Guards against an order in which the route's priority outweighs that of
    the account, and against classes in pools whose routes have one priority.
    """
    made = [make_route(f'r{i}', p) for i, p in enumerate(route_priorities)]
    table = make_table(made, account_priorities)
    classes = priorities.make_priority_classes(table)
    accounts = set(table.accounts_by_key.values()) or {None}
    found = {
        (table.priority_by_account.get(account, 0), route.priority): (
            classes.find(POOL, route, account)
        )
        for account in accounts
        for route in made
    }
    if len(set(route_priorities)) == 1:
        assert set(found.values()) == {None}
        return
    ordered = [found[pair] for pair in sorted(found)]
    assert ordered == sorted(ordered)
    assert ordered[0] == 0
    assert ordered[-1] == min(len(found), priorities.MAX_CLASSES) - 1


def check_plain_services_without_classes():
    """Priorities of routes to plain services give a pool no classes.

    Guards against deployments in which only the services' routes differ from
    the pool's, and whose requests must be served as before.
    """
    table = make_table(
        [make_route('ask', 1), make_route('book', 2, PLAIN)], (1,)
    )
    assert priorities.make_priority_classes(table).pools() == []


def check_priority_header():
    """The class replaces what the caller says, and only if there is one.

    Guards against callers that choose their own urgency.
    """
    request = exchange.Request(
        ids.RequestId('1'),
        'POST',
        '/ask/1',
        'shop.example',
        (('x-priority-class', '0'), ('Accept', '*/*')),
        b'',
        None,
        float('inf'),
    )
    endpoint = directory.Endpoint(
        ids.EndpointId('e1'),
        POOL,
        '127.0.0.1',
        1,
        ids.ZoneName('ba'),
        8,
        directory.EndpointState.READY,
    )

    def sent(priority_class):
        encoded = headers.HeaderCodec().encode(
            request,
            exchange.AttemptParams(
                endpoint, None, 1.0, priority_class=priority_class
            ),
        )
        return [
            value
            for name, value in encoded
            if name.lower() == headers.PRIORITY_CLASS.lower()
        ]

    assert sent(ids.PriorityClass(2)) == ['2']
    assert sent(ids.PriorityClass(0)) == ['0']
    assert sent(None) == ['0']


def check_waiting_sums():
    """Sixty VMs know what waits in the fleet, counted once, until it ends.

    Guards against sums that hubs count twice, and against requests of VMs
    that have died holding back others for ever.
    """
    now_s = 100.0
    zones = ['ba', 'lautoka', 'nadi']
    vms = [
        fleet_properties.ReportingVm(i, zones[i % 3], lambda: now_s)
        for i in range(60)
    ]
    vm_by_address = {vm.me.address: vm for vm in vms}
    rng = random.Random(11)

    def run_rounds(rounds, reporting):
        nonlocal now_s
        for _ in range(rounds):
            for vm in rng.sample(reporting, len(reporting)):
                for address in vm.fleet.addresses():
                    receiver = vm_by_address.get(address)
                    if receiver in reporting and receiver is not vm:
                        vm.report_to(receiver, now_s)
            now_s += 0.33

    run_rounds(20, vms)
    key = (POOL, ids.PriorityClass(1))
    for vm in vms[:7]:
        vm.waiting.add(key, 0.5)
    run_rounds(8, vms)
    for vm in vms:
        total = vm.waiting.sums_excluding(())
        assert total[key].requests == 7, total
        assert abs(total[key].prefill_s - 3.5) < 0.01
        assert vm.waiting.has_more_urgent(POOL, ids.PriorityClass(2))
        assert not vm.waiting.has_more_urgent(POOL, ids.PriorityClass(1))
        assert not vm.waiting.has_more_urgent(PLAIN, ids.PriorityClass(2))
    # The VMs whose requests wait die with them.
    run_rounds(20, vms[7:])
    for vm in vms[7:]:
        assert not vm.waiting.has_more_urgent(POOL, ids.PriorityClass(2))
