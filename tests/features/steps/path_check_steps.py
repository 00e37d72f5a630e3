"""Steps that check properties of request handling and the module layers."""

import ast
import pathlib

from behave import then

from galenaquay_platform import documents
from galenaquay_platform import headers
from galenaquay_platform import orders
from galenaquay_platform import serve
from tests.properties import availability_properties
from tests.properties import blame_recovery_properties
from tests.properties import config_properties
from tests.properties import document_properties
from tests.properties import ends_properties
from tests.properties import fleet_properties
from tests.properties import hedged_attempt_properties
from tests.properties import hedging_properties
from tests.properties import late_body_properties
from tests.properties import memory_properties
from tests.properties import path_properties
from tests.properties import priority_properties
from tests.properties import quarantine_properties
from tests.properties import relay_choice_properties
from tests.properties import relay_properties
from tests.properties import restore_properties
from tests.properties import sharing_properties
from tests.properties import trial_properties
from tests.properties import waiting_properties

PROPERTY_MODULES = (
    availability_properties,
    blame_recovery_properties,
    config_properties,
    document_properties,
    ends_properties,
    fleet_properties,
    hedged_attempt_properties,
    hedging_properties,
    late_body_properties,
    memory_properties,
    path_properties,
    priority_properties,
    quarantine_properties,
    relay_choice_properties,
    relay_properties,
    restore_properties,
    sharing_properties,
    trial_properties,
    waiting_properties,
)
ROOT = pathlib.Path(__file__).resolve().parents[3]
PRODUCT = ROOT / 'packages' / 'galenaquay' / 'galenaquay'
# Layers from top to bottom. A module imports only from its own layer and from
# the layers below it.
LAYERS = (
    'adapters',
    'outcomes',
    'waiting',
    'routing',
    'limits',
    'membership',
    'streams',
    'ports',
    'engines',
    'configuration',
)
# The product's own interface used this header before the platform was
# supported.
ALLOWED_NAMES = {
    ('adapters/caller_requests.py', headers.TIME_LEFT_MS),
    ('galenaquayctl/clients.py', headers.TIME_LEFT_MS),
}
REQUEST_MODULES = (
    'adapters/closing_sockets',
    'adapters/body_transfers',
    'adapters/endpoint_connections',
    'adapters/exchange_http',
    'adapters/fleet_grpc',
    'adapters/fleet_messages',
    'adapters/fleet_server',
    'adapters/forward_front',
    'adapters/half_closed',
    'adapters/member_lists',
    'adapters/mirror_grpc',
    'adapters/run_checks',
    'adapters/contact_probe',
    'adapters/raw_heads',
    'adapters/relay_grpc',
    'adapters/socket_state',
    'adapters/peer_liveness',
    'adapters/timed_connections',
    'adapters/trial_grpc',
    'outcomes/admission',
    'outcomes/attempt_race',
    'outcomes/dependencies',
    'outcomes/forwarding',
    'outcomes/forwarding_attempt',
    'outcomes/hedge_placement',
    'outcomes/hedged_attempts',
    'outcomes/hedging',
    'outcomes/journeys',
    'outcomes/quarantine_check',
    'outcomes/placing',
    'outcomes/refusals',
    'outcomes/relaying',
    'waiting/decision',
    'waiting/order',
    'waiting/room',
    'waiting/sums',
    'outcomes/response_body',
    'outcomes/response_ends',
    'routing/kept_engines',
    'routing/losses',
    'routing/placement',
    'routing/short_set',
    'routing/step_times',
    'limits/attempt_budget',
    'limits/availability',
    'limits/blame',
    'limits/endpoint_rates',
    'limits/group_memory',
    'limits/named_limits',
    'limits/quarantine',
    'limits/recent_answers',
    'limits/request_identities',
    'limits/trial_grants',
    'limits/trials',
    'membership/fleet',
    'membership/following',
    'membership/hedging',
    'membership/revisions',
    'streams/event_cutter',
    'streams/event_relay',
    'ports/exchange',
    'ports/relays',
    'ports/reservations',
    'ports/trials',
    'engines/contact',
    'engines/departures',
    'engines/directory',
    'engines/reliability',
    'engines/usual_times',
    'engines/workload',
    'configuration/compression',
    'configuration/current',
    'configuration/freshness',
    'configuration/mirror',
    'configuration/priorities',
    'configuration/routes',
)


@then('the property "{name}" holds')
def step_property(context, name):
    (check,) = (
        getattr(module, f'check_{name}')
        for module in PROPERTY_MODULES
        if hasattr(module, f'check_{name}')
    )
    check()


def platform_names():
    """Returns the names that only the folder platform/ may contain."""
    names = {
        value
        for value in vars(headers).values()
        if isinstance(value, str)
        and value.startswith(('X-', 'At-', 'Server-'))
    }
    names |= {documents.CONFIG_KEY, documents.WITHDRAWN_PREFIX}
    names |= {orders.ORDER_PATH, serve.READY_PATH, 'kv-range', 'kv-watch'}
    return names


@then('no module of the product contains a header or key name of the platform')
def step_platform_names(context):
    names = platform_names()
    assert len(names) > 12
    for folder in ('galenaquay', 'galenaquayctl'):
        for path in (ROOT / 'packages' / folder).rglob('*.py'):
            text = path.read_text().lower()
            found = {name for name in names if name.lower() in text}
            own = {
                name
                for file, name in ALLOWED_NAMES
                if path.as_posix().endswith(file)
            }
            assert found <= own, (path, found)


def imported_layers(path):
    """Returns the layers that a module imports from."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == 2:
            if node.module:
                yield node.module.split('.')[0]


@then('no module that handles platform requests imports a layer above its own')
def step_layers(context):
    for module in REQUEST_MODULES:
        own = LAYERS.index(module.split('/')[0])
        for layer in imported_layers(PRODUCT / f'{module}.py'):
            if layer in LAYERS:
                assert LAYERS.index(layer) >= own, (module, layer)
