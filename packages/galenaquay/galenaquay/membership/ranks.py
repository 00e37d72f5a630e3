"""Rendezvous hashing: ranks VMs to decide which of them holds which role.

The ranking depends only on the role and the list of VMs, so VMs that have the
same list agree on it. When a VM joins or leaves, only the roles that this VM
takes over or gives up change their holder.
"""

from collections.abc import Iterable, Sequence

import xxhash

from .. import ids


def rank_vms(
    role: str, vm_ids: Iterable[ids.VmId], count: int | None = None
) -> Sequence[ids.VmId]:
    """Returns VMs in order of their rank for a role.

    Args:
        role: Name of the role, for example `engine/lautoka-e3`.
        vm_ids: VMs that may hold the role.
        count: Number of VMs to return; None returns all.
    """
    ranked = sorted(
        vm_ids,
        key=lambda vm_id: (_hash(role, vm_id), vm_id),
    )
    return ranked if count is None else ranked[:count]


def rank_zones(
    role: str, zones: Iterable[ids.ZoneName]
) -> Sequence[ids.ZoneName]:
    """Returns zones in order of their rank for a role."""
    return sorted(zones, key=lambda zone: (_hash(role, zone), zone))


def digest(texts: Iterable[str]) -> int:
    """Returns a digest of a set of texts, of 64 bits."""
    return xxhash.xxh64_intdigest('\n'.join(sorted(texts)).encode())


def _hash(role: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{role}|{name}'.encode())


def engine_role(endpoint_id: ids.EndpointId) -> str:
    """Returns the name of the role of owning an engine's memory."""
    return f'engine/{endpoint_id}'


def account_role(account_id: ids.AccountId) -> str:
    """Returns the name of the role of owning a client account's rate limit."""
    return f'account/{account_id}'


def watch_role(zone: ids.ZoneName) -> str:
    """Returns the name of the role of watching the platform for a zone."""
    return f'watch/{zone}'
