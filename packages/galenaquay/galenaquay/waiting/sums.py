"""Sums of the requests that wait, at this VM and at others.

Load reports carry the sums of each VM. While more urgent requests wait at any
VM, the other VMs leave capacity for them.
"""

from collections.abc import Callable, Collection, Mapping
import dataclasses
import time

from .. import ids

# A pool and a class of its requests.
WaitingKey = tuple[ids.ServiceName, ids.PriorityClass]


@dataclasses.dataclass(frozen=True)
class WaitingSum:
    """The waiting requests of one class of a pool."""

    requests: int = 0
    # Sum of the prefill times of their prompts, in seconds.
    prefill_s: float = 0.0

    def plus(self, other: 'WaitingSum') -> 'WaitingSum':
        """Returns the sum of both."""
        return WaitingSum(
            self.requests + other.requests, self.prefill_s + other.prefill_s
        )


SumsByKey = Mapping[WaitingKey, WaitingSum]


@dataclasses.dataclass(frozen=True)
class _PeerSums:
    valid_until_s: float
    sums_by_key: SumsByKey


class WaitingSums:
    """The waiting requests of all VMs, as far as this VM knows them."""

    def __init__(
        self,
        report_soon: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        # Has the sums of this VM sent to other VMs at once.
        self._report_soon = report_soon
        self._clock = clock
        self._own_by_key: dict[WaitingKey, WaitingSum] = {}
        self._peers_by_id: dict[ids.VmId, _PeerSums] = {}

    def add(self, key: WaitingKey, prefill_s: float) -> None:
        """Adds a request of this VM that begins to wait.

        Args:
            key: Pool and class of the request.
            prefill_s: Prefill time of its prompt, in seconds.
        """
        own = self._own_by_key.get(key)
        self._own_by_key[key] = (own or WaitingSum()).plus(
            WaitingSum(1, prefill_s)
        )
        if own is None:
            self._report_soon()

    def remove(self, key: WaitingKey, prefill_s: float) -> None:
        """Removes a request of this VM that waits no longer."""
        own = self._own_by_key[key].plus(WaitingSum(-1, -prefill_s))
        if own.requests:
            self._own_by_key[key] = own
        else:
            del self._own_by_key[key]

    def own_sums(self) -> dict[WaitingKey, WaitingSum]:
        """Returns the sums of this VM's own requests."""
        return dict(self._own_by_key)

    def replace_peer_sums(
        self, peer: ids.VmId, sums_by_key: SumsByKey, valid_s: float
    ) -> None:
        """Replaces the sums that a peer reported earlier.

        Args:
            peer: The VM, or the group of VMs, whose requests wait.
            sums_by_key: The sums of the peer.
            valid_s: Time for which the sums count, in seconds.
        """
        self._peers_by_id.pop(peer, None)
        if sums_by_key:
            self._peers_by_id[peer] = _PeerSums(
                self._clock() + valid_s, sums_by_key
            )

    def sums_excluding(
        self, excluded_peers: Collection[ids.VmId]
    ) -> dict[WaitingKey, WaitingSum]:
        """Returns the sums over all VMs but the given peers."""
        now_s = self._clock()
        total = dict(self._own_by_key)
        for peer, sums in self._peers_by_id.items():
            if peer in excluded_peers or sums.valid_until_s < now_s:
                continue
            for key, peer_sum in sums.sums_by_key.items():
                total[key] = total.get(key, WaitingSum()).plus(peer_sum)
        return total

    def has_more_urgent(
        self, service: ids.ServiceName, priority_class: ids.PriorityClass
    ) -> bool:
        """Returns whether requests of a more urgent class wait at any VM."""
        return any(
            key_service == service and key_class < priority_class
            for key_service, key_class in self.sums_excluding(())
        )
