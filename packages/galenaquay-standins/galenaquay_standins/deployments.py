"""The two users' deployments: zones, endpoints, accounts, routes and VMs.

Generates their documents and settings. The module `fleet` starts the
processes.
"""

import dataclasses
import hashlib
from typing import Any, Final

# Memory of one engine, in tokens.
CAPACITY_TOKENS: Final = 450_000
# Prefill rate of an engine without the fixed time of a step, in tokens per
# engine second.
PREFILL_TOKENS_S: Final = 40_000.0
# Prefill rate of an engine with the fixed time of a step, in tokens per engine
# second. A step takes 12 ms in addition to the prefill of its 2,048 tokens.
EFFECTIVE_PREFILL_TOKENS_S: Final = 32_400.0
HOST: Final = '127.0.0.1'


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Names and sizes of one user's deployment."""

    name: str
    region: str
    zones: tuple[str, ...]
    engines: int
    services: int
    vms: int
    service_route: str
    accounts: tuple[str, ...]
    # One-way network delay between availability zones and to clients, in
    # seconds.
    zone_delay_s: float
    client_delay_s: float


VAKALOLOMA: Final = Deployment(
    name='vakaloloma',
    region='viti-west',
    zones=('lautoka', 'nadi', 'ba'),
    engines=20,
    services=3,
    vms=8,
    service_route='reminders',
    accounts=tuple(f'trust-{n}' for n in range(1, 11)),
    zone_delay_s=0.001,
    client_delay_s=0.001,
)
FAELLESGARD: Final = Deployment(
    name='faellesgard',
    region='dk-vest',
    zones=('esbjerg', 'herning', 'vejle'),
    engines=25,
    services=3,
    vms=8,
    service_route='gate-releases',
    accounts=tuple(f'yard-{n}' for n in range(1, 11)),
    zone_delay_s=0.001,
    client_delay_s=0.003,
)
DEPLOYMENTS_BY_NAME: Final = {d.name: d for d in (VAKALOLOMA, FAELLESGARD)}


@dataclasses.dataclass(frozen=True)
class Ports:
    """Port numbers of a fleet's processes, as offsets from a base port."""

    base: int

    @property
    def platform(self) -> int:
        """Port of the platform stand-in."""
        return self.base

    def callers(self, vm: int) -> int:
        """Port on which a VM serves callers."""
        return self.base + 10 + 2 * vm

    def peers(self, vm: int) -> int:
        """Port on which a VM serves other VMs."""
        return self.base + 11 + 2 * vm

    def service(self, number: int) -> int:
        """Port of a plain service."""
        return self.base + 150 + number

    def engine(self, number: int) -> int:
        """Port of an engine."""
        return self.base + 200 + number


def account_key(account: str) -> str:
    """Returns the API key of a client account."""
    return f'key-of-{account}'


def zone_of(deployment: Deployment, number: int) -> str:
    """Returns the zone of the VM or endpoint with the given number."""
    return deployment.zones[number % len(deployment.zones)]


def _endpoint_id(deployment: Deployment, kind: str, number: int) -> str:
    ordinal = number // len(deployment.zones) + 1
    return f'{zone_of(deployment, number)}-{kind}{ordinal}'


def vm_id(deployment: Deployment, vm: int) -> str:
    """Returns the id of a VM."""
    zone = zone_of(deployment, vm)
    return f'{zone}-{vm // len(deployment.zones) + 1}'


def vm_list(deployment: Deployment, ports: Ports) -> dict[str, Any]:
    """Returns the list of VMs that the platform publishes."""
    return {
        'version': 1,
        'vms': [
            {
                'id': vm_id(deployment, vm),
                'zone': zone_of(deployment, vm),
                'region': deployment.region,
                'callers': f'{HOST}:{ports.callers(vm)}',
                'peers': f'{HOST}:{ports.peers(vm)}',
            }
            for vm in range(deployment.vms)
        ],
    }


def config(
    deployment: Deployment,
    ports: Ports,
    *,
    time_scale: float = 1.0,
    capacity_tokens: int = CAPACITY_TOKENS,
) -> dict[str, Any]:
    """Returns the configuration that the platform publishes."""
    engines = [
        {
            'id': _endpoint_id(deployment, 'e', n),
            'zone': zone_of(deployment, n),
            'kind': 'engine',
            'url': f'http://{HOST}:{ports.engine(n)}',
            'labels': {'model': 'reader', 'context-parallel': 'true'},
            'capacity_tokens': capacity_tokens,
            'prefill_tokens_s': EFFECTIVE_PREFILL_TOKENS_S * time_scale,
        }
        for n in range(deployment.engines)
    ]
    services = [
        {
            'id': _endpoint_id(deployment, 's', n),
            'zone': zone_of(deployment, n),
            'kind': 'service',
            'url': f'http://{HOST}:{ports.service(n)}',
            'labels': {'app': 'records'},
        }
        for n in range(deployment.services)
    ]
    return {
        'version': 1,
        'zones': [
            {'name': zone, 'region': deployment.region}
            for zone in deployment.zones
        ],
        'endpoints': engines + services,
        'pools': [
            {'name': 'engines', 'selector': 'model=reader'},
            {'name': 'records', 'selector': 'app=records'},
        ],
        'accounts': [
            {
                'id': account,
                'key_sha256': hashlib.sha256(
                    account_key(account).encode()
                ).hexdigest(),
            }
            for account in deployment.accounts
        ],
        'routes': _routes(deployment),
    }


def _routes(deployment: Deployment) -> list[dict[str, Any]]:
    model = {'kind': 'model', 'pool': 'engines'}
    service = {'kind': 'service', 'pool': 'records'}
    return [
        {'name': 'question', **model, 'deadline_s': 30.0},
        {
            'name': 'summary',
            **model,
            'deadline_s': 600.0,
            'long_prompt': 'group',
        },
        {
            'name': 'archive',
            **model,
            'deadline_s': 3600.0,
            'long_prompt': 'segmented',
        },
        {'name': 'lookup', **service, 'deadline_s': 5.0},
        {
            'name': deployment.service_route,
            **service,
            'idempotent': False,
            'deadline_s': 5.0,
        },
    ]


def vm_settings(
    deployment: Deployment, ports: Ports, vm: int
) -> dict[str, Any]:
    """Returns the settings of one VM."""
    return {
        'vm_id': vm_id(deployment, vm),
        'zone': zone_of(deployment, vm),
        'region': deployment.region,
        'callers': {'host': HOST, 'port': ports.callers(vm)},
        'peers': {'host': HOST, 'port': ports.peers(vm)},
        'platform': {'url': f'http://{HOST}:{ports.platform}'},
        'known_peers': [
            {'host': HOST, 'port': ports.peers(peer)}
            for peer in range(deployment.vms)
            if peer != vm
            and zone_of(deployment, peer) == zone_of(deployment, vm)
        ],
    }
