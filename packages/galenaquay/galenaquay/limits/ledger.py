"""Memory ledger: how many tokens of each engine this process may grant.

The memory of each engine is split into two shares, one for each of the two
VMs that own the engine. The second owner lends its share to the first owner
on a short lease. A process takes over a share only if the previous holder
hands the share over or has certainly ended. Tokens of the share that may still
be in use are granted again only after the engine reports them as free. The
ledger sends no messages: `claims` asks other VMs for shares, and
`engines.watch` queries the engines.

Every method takes the time of this process's monotonic clock in seconds.
docs/design/memory.md gives the safety argument and its assumptions.
"""

from collections.abc import Iterable, Iterator
from typing import Final

from .. import ids
from . import shares

# Duration of a lease at the borrower, in seconds, counted from when the
# borrower sent the heartbeat that asked for the lease.
LEASE_S: Final = 3.0
# Time after a grant within which the entry process must send the engine the
# order to run the request, in seconds.
START_WITHIN_S: Final = 1.0
# Longest pause that a process may make between its last check of the clock
# and the action that the check allowed, in seconds.
PAUSE_GRACE_S: Final = 1.0
# Age of a grant, in seconds, from which the engine's report of its held
# requests includes the grant for as long as the request runs.
GRANT_VISIBLE_S: Final = START_WITHIN_S + PAUSE_GRACE_S
# Low bits of a grant or lease number, which count within one run of a process;
# the high bits are the incarnation of the process.
NUMBER_BITS: Final = 22
# Duration of a lease at the lender, in seconds. The lender ends the lease at
# least GRANT_VISIBLE_S after its end at the borrower, when the engine already
# reports every running request that the borrower granted under the lease.
LENDER_LEASE_S: Final = LEASE_S + GRANT_VISIBLE_S


class Ledger:
    """Shares, borrowed leases and grants of one process."""

    # The process that keeps this ledger.
    me: shares.ProcessId
    # Shares that this process holds, by engine and slot.
    shares_by_key: dict[shares.ShareKey, shares.Share]
    # Leases that this process has borrowed, by engine.
    loans_by_endpoint: dict[ids.EndpointId, shares.Loan]
    # Grants that have not ended, by their id.
    grants_by_id: dict[ids.GrantId, shares.Grant]
    # Shares with a pending claim by this process.
    claiming: set[shares.ShareKey]

    def __init__(self, me: shares.ProcessId) -> None:
        self.me = me
        self.shares_by_key = {}
        self.loans_by_endpoint = {}
        self.grants_by_id = {}
        self.claiming = set()
        self._grants_by_endpoint: dict[
            ids.EndpointId, dict[ids.GrantId, shares.Grant]
        ] = {}
        # Tokens granted, by share and lease number; 0 stands for no lease.
        self._granted_totals: dict[tuple[shares.ShareKey, int], int] = {}
        # Each number contains the incarnation, so that no two processes use
        # the same number.
        self._next_number = (me.incarnation << NUMBER_BITS) + 1

    def _allocate_number(self) -> int:
        self._next_number += 1
        return self._next_number - 1

    # Grants.

    def grants_of(self, endpoint_id: ids.EndpointId) -> Iterable[shares.Grant]:
        """Returns the grants on an engine that have not been released."""
        return self._grants_by_endpoint.get(endpoint_id, {}).values()

    def _granted_tokens(self, key: shares.ShareKey, lease_number: int) -> int:
        return self._granted_totals.get((key, lease_number), 0)

    def _update_granted(self, grant: shares.Grant, sign: int) -> None:
        """Adds a grant to the totals per share, or subtracts it.

        The running totals make the cost of a grant independent of the number
        of live grants.

        Args:
            grant: The grant.
            sign: 1 to add the grant, -1 to subtract it.
        """
        for slot, lease_number in (
            (shares.Slot.FIRST, 0),
            (shares.Slot.SECOND, grant.lease_number),
        ):
            tokens = grant.slot_tokens(slot)
            if tokens == 0:
                continue
            key = (shares.ShareKey(grant.endpoint_id, slot), lease_number)
            left = self._granted_totals.get(key, 0) + sign * tokens
            if left:
                self._granted_totals[key] = left
            else:
                del self._granted_totals[key]

    def _free_share_tokens(self, key: shares.ShareKey) -> int:
        share = self.shares_by_key.get(key)
        if share is None or share.lease is not None:
            return 0
        used = self._granted_tokens(key, 0) + share.debit_tokens
        return max(0, share.size_tokens - used)

    def _free_loan_tokens(
        self, endpoint_id: ids.EndpointId, now_s: float
    ) -> int:
        loan = self.loans_by_endpoint.get(endpoint_id)
        if loan is None or now_s >= loan.valid_until_s:
            return 0
        key = shares.ShareKey(endpoint_id, shares.Slot.SECOND)
        return max(
            0, loan.tokens - self._granted_tokens(key, loan.lease_number)
        )

    def free_tokens(self, endpoint_id: ids.EndpointId, now_s: float) -> int:
        """Returns how many tokens may be granted on an engine now."""
        self.expire(endpoint_id, now_s)
        first = self._free_share_tokens(
            shares.ShareKey(endpoint_id, shares.Slot.FIRST)
        )
        second = self._free_share_tokens(
            shares.ShareKey(endpoint_id, shares.Slot.SECOND)
        )
        return first + max(second, self._free_loan_tokens(endpoint_id, now_s))

    def usable_tokens(self, endpoint_id: ids.EndpointId, now_s: float) -> int:
        """Returns the tokens of an engine that this process holds or borrows.

        Tokens that are already granted count too; a share that this process
        has lent does not.
        """
        self.expire(endpoint_id, now_s)
        size = 0
        for slot in shares.Slot:
            share = self.shares_by_key.get(shares.ShareKey(endpoint_id, slot))
            if share is not None and share.lease is None:
                size += share.size_tokens
        loan = self.loans_by_endpoint.get(endpoint_id)
        if loan is not None and now_s < loan.valid_until_s:
            size += loan.tokens
        return size

    def grant(
        self,
        endpoint_id: ids.EndpointId,
        tokens: int,
        entry: shares.ProcessId,
        now_s: float,
    ) -> shares.Grant | None:
        """Grants tokens on an engine; returns None if too few are free."""
        if tokens <= 0 or self.free_tokens(endpoint_id, now_s) < tokens:
            return None
        free = self._free_share_tokens(
            shares.ShareKey(endpoint_id, shares.Slot.FIRST)
        )
        first = min(tokens, free)
        second = tokens - first
        lease_number = 0
        own = self._free_share_tokens(
            shares.ShareKey(endpoint_id, shares.Slot.SECOND)
        )
        if second > own:
            lease_number = self.loans_by_endpoint[endpoint_id].lease_number
        grant = shares.Grant(
            grant_id=ids.GrantId(f'{self.me.vm_id}-{self._allocate_number()}'),
            endpoint_id=endpoint_id,
            owner=self.me,
            entry=entry,
            first_share_tokens=first,
            second_share_tokens=second,
            lease_number=lease_number,
            granted_at_s=now_s,
        )
        self.grants_by_id[grant.grant_id] = grant
        by_id = self._grants_by_endpoint.setdefault(endpoint_id, {})
        by_id[grant.grant_id] = grant
        self._update_granted(grant, 1)
        return grant

    def release(self, grant_id: ids.GrantId) -> shares.Grant | None:
        """Releases a grant whose request has ended or was never started.

        The engine must have confirmed the end of a request that was started.
        """
        grant = self.grants_by_id.pop(grant_id, None)
        if grant is not None:
            del self._grants_by_endpoint[grant.endpoint_id][grant_id]
            self._update_granted(grant, -1)
        return grant

    # Leases.

    def expire(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Ends the lease on an engine's second share if it has expired.

        The leased tokens are counted as in use until the engine reports which
        requests still hold them.
        """
        share = self.shares_by_key.get(
            shares.ShareKey(endpoint_id, shares.Slot.SECOND)
        )
        if share is None or share.lease is None:
            return
        if now_s >= share.lease.expires_at_s:
            share.debit_tokens += share.lease.tokens
            share.reconcile_from_s = share.lease.expires_at_s
            share.lease = None

    def lend(
        self,
        endpoint_id: ids.EndpointId,
        borrower: shares.ProcessId,
        now_s: float,
    ) -> shares.Lease | None:
        """Starts or renews a lease on the second share for the first owner.

        Returns:
            The lease, or None if this process cannot lend the share.
        """
        self.expire(endpoint_id, now_s)
        key = shares.ShareKey(endpoint_id, shares.Slot.SECOND)
        share = self.shares_by_key.get(key)
        if share is None or share.is_lending_stopped or borrower == self.me:
            return None
        if share.lease is not None and share.lease.borrower != borrower:
            return None
        if share.lease is None and not self._start_lease(share, borrower):
            return None
        lease = share.lease
        assert lease is not None
        lease.tokens = max(lease.tokens, self._lendable_tokens(share))
        lease.expires_at_s = now_s + LENDER_LEASE_S
        return lease

    def _lendable_tokens(self, share: shares.Share) -> int:
        used = self._granted_tokens(share.key, 0) + share.debit_tokens
        return max(0, share.size_tokens - used)

    def _start_lease(
        self, share: shares.Share, borrower: shares.ProcessId
    ) -> bool:
        tokens = self._lendable_tokens(share)
        if tokens == 0:
            return False
        share.lease = shares.Lease(
            self._allocate_number(), borrower, tokens, 0.0
        )
        return True

    def borrow(
        self,
        endpoint_id: ids.EndpointId,
        lender: shares.ProcessId,
        lease_number: int,
        tokens: int,
        asked_at_s: float,
    ) -> None:
        """Records a lease that the lender has given to this process.

        The lease is valid from `asked_at_s`, when this process sent the
        heartbeat that asked for it. The lender counts its own, longer term
        from a later time, so that the lease ends here first.
        """
        current = self.loans_by_endpoint.get(endpoint_id)
        valid_until_s = asked_at_s + LEASE_S
        if (
            current is not None
            and current.lender == lender
            and current.lease_number == lease_number
        ):
            valid_until_s = max(valid_until_s, current.valid_until_s)
            tokens = max(tokens, current.tokens)
        self.loans_by_endpoint[endpoint_id] = shares.Loan(
            lender, lease_number, tokens, valid_until_s
        )

    # Claims.

    def answer_claim(
        self, key: shares.ShareKey, *, is_wanted: bool, now_s: float
    ) -> shares.ClaimAnswer:
        """Answers the claim of another process to a share.

        Args:
            key: The claimed share.
            is_wanted: Whether this process owns the share by rank, according
                to its own list of VMs.
            now_s: The current time.
        """
        self.expire(key.endpoint_id, now_s)
        share = self.shares_by_key.get(key)
        if key in self.claiming:
            return shares.ClaimAnswer(key, shares.ClaimVerdict.DENIED)
        if share is None:
            return shares.ClaimAnswer(key, shares.ClaimVerdict.NOT_HELD)
        if is_wanted:
            return shares.ClaimAnswer(key, shares.ClaimVerdict.DENIED)
        if share.lease is not None:
            share.is_lending_stopped = True
            return shares.ClaimAnswer(key, shares.ClaimVerdict.DENIED)
        granted = self._granted_tokens(key, 0) + share.debit_tokens
        del self.shares_by_key[key]
        return shares.ClaimAnswer(
            key, shares.ClaimVerdict.HANDED_OVER, granted
        )

    def take_over(
        self,
        key: shares.ShareKey,
        size_tokens: int,
        answers: Iterable[shares.ClaimAnswer],
        now_s: float,
    ) -> bool:
        """Completes a claim once every other process has answered.

        Args:
            key: The claimed share.
            size_tokens: The size of the share.
            answers: The answers of all other processes.
            now_s: The current time.

        Returns:
            Whether this process now holds the share.
        """
        self.claiming.discard(key)
        answers = list(answers)
        verdicts = [answer.verdict for answer in answers]
        if shares.ClaimVerdict.DENIED in verdicts or key in self.shares_by_key:
            return key in self.shares_by_key
        debit = size_tokens
        delay_s = (
            GRANT_VISIBLE_S
            if key.slot is shares.Slot.FIRST
            else LENDER_LEASE_S
        )
        for answer in answers:
            if answer.verdict is shares.ClaimVerdict.HANDED_OVER:
                debit = min(size_tokens, answer.granted_tokens)
                delay_s = GRANT_VISIBLE_S
        self.shares_by_key[key] = shares.Share(
            key, size_tokens, debit, now_s + delay_s
        )
        return True

    def resume_lending(self, key: shares.ShareKey) -> None:
        """Allows leases on a share again after a claim has stopped them."""
        share = self.shares_by_key.get(key)
        if share is not None:
            share.is_lending_stopped = False

    # Reconciliation with the engines' reports.

    def reconcile(
        self,
        endpoint_id: ids.EndpointId,
        holdings: Iterable[shares.Holding],
        asked_at_s: float,
    ) -> list[shares.Grant]:
        """Reconciles the ledger with the requests that an engine holds.

        Args:
            endpoint_id: The engine.
            holdings: All requests that the engine held at one moment after
                `asked_at_s`.
            asked_at_s: When the engine was asked for its held requests.

        Returns:
            The grants that were released because the engine does not hold
            their requests.
        """
        self.expire(endpoint_id, asked_at_s)
        reported = list(holdings)
        for slot in shares.Slot:
            share = self.shares_by_key.get(shares.ShareKey(endpoint_id, slot))
            if share is not None and asked_at_s >= share.reconcile_from_s:
                share.debit_tokens = self._unrecorded_tokens(share, reported)
        return self._release_missing(endpoint_id, reported, asked_at_s)

    def _unrecorded_tokens(
        self, share: shares.Share, reported: list[shares.Holding]
    ) -> int:
        return sum(
            holding.slot_tokens(share.key.slot)
            for holding in reported
            if not self._is_recorded(share, holding)
        )

    def _is_recorded(
        self, share: shares.Share, holding: shares.Holding
    ) -> bool:
        """Returns whether this ledger already counts a holding's tokens.

        The tokens are counted either by a grant in the ledger or by the
        running lease on the second share.
        """
        if share.key.slot is shares.Slot.FIRST:
            return holding.grant_id in self.grants_by_id
        if share.lease is not None:
            if holding.lease_number == share.lease.number:
                return True
        if holding.lease_number != 0:
            return False
        return holding.grant_id in self.grants_by_id

    def _release_missing(
        self,
        endpoint_id: ids.EndpointId,
        reported: list[shares.Holding],
        asked_at_s: float,
    ) -> list[shares.Grant]:
        reported_ids = {h.grant_id for h in reported if h.owner == self.me}
        missing = [
            grant
            for grant in self.grants_of(endpoint_id)
            if grant.grant_id not in reported_ids
            and asked_at_s >= grant.granted_at_s + GRANT_VISIBLE_S
        ]
        for grant in missing:
            self.release(grant.grant_id)
        return missing

    def unreconciled_shares(self) -> Iterator[shares.Share]:
        """Yields the shares with tokens that unrecorded grants may use."""
        for share in self.shares_by_key.values():
            if share.debit_tokens > 0:
                yield share
