"""Rendezvous hashing: ranks VMs to decide which of them holds which duty.

The ranking depends only on the duty and the list of VMs, so VMs that have the
same list agree on it. When a VM joins or leaves, only the duties that this VM
takes over or gives up change their holder.
"""

from collections.abc import Iterable, Sequence

import xxhash

from .. import ids


def rank_vms(
    duty: str, vm_ids: Iterable[ids.VmId], count: int | None = None
) -> Sequence[ids.VmId]:
    """Returns VMs in order of their rank for a duty.

    Args:
        duty: Name of the duty, for example `engine/lautoka-e3`.
        vm_ids: VMs that may hold the duty.
        count: Number of VMs to return; None returns all.
    """
    ranked = sorted(
        vm_ids,
        key=lambda vm_id: (_hash(duty, vm_id), vm_id),
    )
    return ranked if count is None else ranked[:count]


def _hash(duty: str, vm_id: ids.VmId) -> int:
    return xxhash.xxh64_intdigest(f'{duty}|{vm_id}'.encode())


def engine_duty(endpoint_id: ids.EndpointId) -> str:
    """Returns the name of the duty of owning an engine's memory."""
    return f'engine/{endpoint_id}'


def account_duty(account_id: ids.AccountId) -> str:
    """Returns the name of the duty of owning a client account's rate limit."""
    return f'account/{account_id}'


def watch_duty(zone: ids.ZoneName) -> str:
    """Returns the name of the duty of watching the platform for a zone."""
    return f'watch/{zone}'
