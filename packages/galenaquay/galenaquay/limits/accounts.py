"""Account rate limits in tokens per second, enforced across all VMs.

One owner VM per account, chosen by rendezvous hashing over all listed VMs,
hands out most of the account's rate; the rest is divided evenly among the VMs
and spent without messages. The total therefore stays within the limit during
any network partition, and a single VM can still spend nearly the whole rate.
docs/design/accounts.md compares the alternatives.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Final

from galenaquay_api import peer_pb2

from .. import codes
from .. import ids
from . import claims
from ..configuration import documents
from ..membership import ranks
from ..membership import view as views
from ..ports import peers as peers_port
from . import shares

# Fraction of an account's rate that the owner of the account hands out.
OWNER_FRACTION: Final = 0.9
# Capacity of a token bucket, in seconds of the bucket's rate.
BURST_S: Final = 2.0
# Tokens that a VM requests beyond the current need, in seconds of the VM's
# recent use of the account.
PREFETCH_S: Final = 0.5
# Upper limit on the tokens that one call to the owner requests beyond the
# current need, in seconds of the account's rate; a higher limit would let a
# burst of calls overdraw the rate.
MAX_PREFETCH_S: Final = 0.1
# Time after which tokens received ahead of need expire, in seconds.
PREFETCH_VALID_S: Final = 2.0
# Shortest retry time that a refused request is given, in seconds.
MIN_RETRY_AFTER_S: Final = 0.1


@dataclasses.dataclass
class Bucket:
    """Token bucket that a single request may overdraw.

    A request may be larger than the capacity of the bucket. A request is
    therefore admitted while the balance is positive, and later requests are
    refused until the refill has made up for a negative balance. On average,
    the bucket keeps its rate.
    """

    rate_s: float
    balance: float
    updated_at_s: float

    def refill(self, rate_s: float, now_s: float) -> None:
        """Adds the tokens that have accrued since the last refill."""
        self.rate_s = rate_s
        gained = (now_s - self.updated_at_s) * rate_s
        self.balance = min(rate_s * BURST_S, self.balance + gained)
        self.updated_at_s = now_s

    def spend(self, tokens: float) -> bool:
        """Spends tokens, unless the balance is used up.

        Returns:
            Whether the tokens were spent; they may exceed the balance.
        """
        if self.balance <= 0:
            return False
        self.balance -= tokens
        return True

    def retry_after_s(self) -> float:
        """Returns the time until the balance is positive again."""
        return max(MIN_RETRY_AFTER_S, -self.balance / self.rate_s)


@dataclasses.dataclass
class _Prefetched:
    """Tokens that the owner has given this VM ahead of requests."""

    tokens: float = 0.0
    valid_until_s: float = 0.0
    # Tokens spent on this VM recently. Each update first reduces the sum in
    # proportion to the time since the last update, to 0 after one second.
    recent_use: float = 0.0
    updated_at_s: float = 0.0

    def left(self, now_s: float) -> float:
        """Returns the tokens that may still be spent.

        Unspent tokens expire; a negative balance does not.
        """
        return (
            self.tokens
            if now_s < self.valid_until_s
            else min(0.0, self.tokens)
        )

    def record_use(self, tokens: float, now_s: float) -> None:
        """Updates the estimate of the tokens spent on this VM per second."""
        decay = max(0.0, 1 - (now_s - self.updated_at_s))
        self.recent_use = self.recent_use * decay + tokens
        self.updated_at_s = now_s


class AccountLimiter:
    """Enforces account rates on this VM and for accounts that the VM owns."""

    def __init__(
        self,
        view: views.View,
        peers: peers_port.Peers,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._view = view
        self._peers = peers
        self._clock = clock
        self._local_buckets: dict[ids.AccountId, Bucket] = {}
        self._prefetched_by_account: dict[ids.AccountId, _Prefetched] = {}
        self._owner_buckets: dict[ids.AccountId, Bucket] = {}
        # Accounts that this VM no longer owns, with the VM that claimed each.
        self._yielded_by_account: dict[ids.AccountId, ids.VmId] = {}
        # For each account that this VM takes over, the VM that must first stop
        # handing out tokens.
        self._former_by_account: dict[ids.AccountId, ids.VmId] = {}

    async def admit(
        self, account: documents.Account, tokens: int
    ) -> codes.Failure | None:
        """Spends tokens of an account for a request.

        Returns:
            None if the request is admitted, else the reason for the refusal.
        """
        if account.tokens_s is None:
            return None
        account_id = ids.AccountId(account.id)
        now_s = self._clock()
        prefetched = self._prefetched_by_account.setdefault(
            account_id, _Prefetched()
        )
        if self._spend_prefetched(prefetched, tokens, now_s):
            return None
        prefetched.record_use(tokens, now_s)
        max_prefetch = account.tokens_s * MAX_PREFETCH_S
        missing = tokens - prefetched.left(now_s)
        wanted = missing + min(
            prefetched.recent_use * PREFETCH_S, max_prefetch
        )
        given, retry_after_s = await self._ask_owner(account_id, int(wanted))
        if given >= missing:
            # Concurrent requests may have spent the balance during the call.
            prefetched.tokens = prefetched.left(now_s) + given - tokens
            prefetched.valid_until_s = now_s + PREFETCH_VALID_S
            return None
        local = self._local_bucket(account)
        if local.spend(tokens):
            return None
        return codes.failure(
            codes.Code.ACCOUNT_OVER_LIMIT,
            account.id,
            max(retry_after_s, MIN_RETRY_AFTER_S),
        )

    def _spend_prefetched(
        self, prefetched: _Prefetched, tokens: int, now_s: float
    ) -> bool:
        if prefetched.left(now_s) < tokens:
            return False
        prefetched.tokens -= tokens
        prefetched.record_use(tokens, now_s)
        return True

    def _local_bucket(self, account: documents.Account) -> Bucket:
        """Returns the bucket for this VM's even part of an account's rate."""
        assert account.tokens_s is not None
        vms = max(1, len(self._view.listed_vms()))
        rate_s = account.tokens_s * (1 - OWNER_FRACTION) / vms
        account_id = ids.AccountId(account.id)
        now_s = self._clock()
        # Starts empty, since a restarted process does not know what the VM
        # spent before the restart.
        bucket = self._local_buckets.setdefault(
            account_id, Bucket(rate_s, 0.0, now_s)
        )
        bucket.refill(rate_s, now_s)
        return bucket

    def _owner_of(self, account_id: ids.AccountId) -> ids.VmId | None:
        ranked = self._view.rank_fleet(ranks.account_role(account_id), 1)
        return ranked[0] if ranked else None

    async def _ask_owner(
        self, account_id: ids.AccountId, tokens: int
    ) -> tuple[int, float]:
        owner = self._owner_of(account_id)
        if owner == self._view.me.vm_id:
            return await self.spend_as_owner(account_id, tokens)
        vm = None if owner is None else self._view.listed_vms().get(owner)
        if vm is None:
            return 0, MIN_RETRY_AFTER_S
        request = peer_pb2.SpendRequest(
            sender=claims.sender_message(self._view.me),
            account_id=account_id,
            tokens=tokens,
        )
        reply = await self._peers.spend(vm.peers, request)
        if isinstance(reply, codes.Failure):
            return 0, MIN_RETRY_AFTER_S
        return reply.tokens, reply.retry_after_ms / 1000

    # Owner side.

    async def spend_as_owner(
        self, account_id: ids.AccountId, tokens: int
    ) -> tuple[int, float]:
        """Hands out tokens of an account that this VM owns.

        Returns:
            The number of tokens handed out, which is `tokens` or 0, and the
            time after which the caller may try again, in seconds.
        """
        bucket = await self._owner_bucket(account_id)
        if bucket is None:
            return 0, MIN_RETRY_AFTER_S
        if bucket.spend(tokens):
            return tokens, 0.0
        return 0, bucket.retry_after_s()

    async def _owner_bucket(self, account_id: ids.AccountId) -> Bucket | None:
        document = self._view.configs.document
        if document is None:
            return None
        account = document.accounts_by_id.get(account_id)
        if account is None or account.tokens_s is None:
            return None
        if self._owner_of(account_id) != self._view.me.vm_id:
            return None
        if not await self._take_over_from_former(account_id):
            return None
        rate_s = account.tokens_s * OWNER_FRACTION
        now_s = self._clock()
        bucket = self._owner_buckets.setdefault(
            account_id, Bucket(rate_s, 0.0, now_s)
        )
        bucket.refill(rate_s, now_s)
        return bucket

    def update_former_owners(self) -> None:
        """Records the former owners of accounts after a change of the VM list.

        Only accounts that this VM owns under the new list are considered.
        """
        document = self._view.configs.document
        if document is None:
            return
        former = self._view.previous_live_vms()
        for account_id in document.accounts_by_id:
            if self._owner_of(account_id) != self._view.me.vm_id:
                continue
            role = ranks.account_role(account_id)
            before = ranks.rank_vms(role, former, 1)
            if before and before[0] != self._view.me.vm_id:
                self._former_by_account[account_id] = before[0]

    async def _take_over_from_former(self, account_id: ids.AccountId) -> bool:
        """Asks the former owner of an account to stop handing out tokens.

        Returns:
            Whether this VM is now the only one to hand out the account's
            tokens.
        """
        yielded_to = self._yielded_by_account.get(account_id)
        former = self._former_by_account.get(account_id, yielded_to)
        if former is None or former == self._view.me.vm_id:
            return True
        vm = self._view.listed_vms().get(former)
        if vm is not None:
            request = peer_pb2.YieldRequest(
                sender=claims.sender_message(self._view.me),
                account_id=account_id,
            )
            reply = await self._peers.yield_account(vm.peers, request)
            if isinstance(reply, codes.Failure):
                # A refused connection proves that no process on the former
                # owner's VM hands out tokens.
                if reply.code is not codes.Code.CONNECT_FAILED:
                    return False
            elif reply.yielded_to:
                next_to_ask = ids.VmId(reply.yielded_to)
                self._former_by_account[account_id] = next_to_ask
                return False
        self._former_by_account.pop(account_id, None)
        self._yielded_by_account.pop(account_id, None)
        return True

    def yield_to(
        self, account_id: ids.AccountId, asker: shares.ProcessId
    ) -> ids.VmId | None:
        """Stops handing out an account's tokens in favour of another VM.

        Returns:
            None if the account is yielded to `asker`, else the VM to which the
            account was yielded before.
        """
        before = self._yielded_by_account.get(account_id)
        if before is not None and before != asker.vm_id:
            return before
        self._owner_buckets.pop(account_id, None)
        self._yielded_by_account[account_id] = asker.vm_id
        return None


async def track_list_changes(
    view: views.View, accounts: AccountLimiter
) -> None:
    """Updates the former owners of accounts at every change of the VM list."""
    while True:
        await view.lists.wait_changed()
        accounts.update_former_owners()
        await asyncio.sleep(0)
