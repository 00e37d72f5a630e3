"""Shares of engines' memory, and the grants, leases and claims on them.

The module `ledger` keeps them for one process.
"""

from collections.abc import Sequence
import dataclasses
import enum

from .. import ids


class Slot(enum.IntEnum):
    """The two shares of an engine's memory."""

    FIRST = 0
    SECOND = 1


@dataclasses.dataclass(frozen=True)
class ShareKey:
    """Identifies one share of one engine's memory."""

    endpoint_id: ids.EndpointId
    slot: Slot


def share_tokens(capacity_tokens: int, slot: Slot) -> int:
    """Returns the size of a share, in tokens."""
    second = capacity_tokens // 2
    return second if slot is Slot.SECOND else capacity_tokens - second


def wanted_slots(owners: Sequence[ids.VmId], vm_id: ids.VmId) -> list[Slot]:
    """Returns the slots of an engine that a VM owns by rank.

    A VM that is the only owner of the engine owns both slots.
    """
    if list(owners) == [vm_id]:
        return list(Slot)
    return [slot for slot, owner in zip(Slot, owners) if owner == vm_id]


@dataclasses.dataclass(frozen=True)
class ProcessId:
    """Identifies one run of the process on a VM."""

    vm_id: ids.VmId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True)
class Grant:
    """Permission for one request to use tokens of an engine's memory."""

    grant_id: ids.GrantId
    endpoint_id: ids.EndpointId
    owner: ProcessId
    # The process that accepted the request and sends it to the engine.
    entry: ProcessId
    first_share_tokens: int
    second_share_tokens: int
    # Lease that `second_share_tokens` come from; 0 if the owner holds the
    # second share itself.
    lease_number: int
    granted_at_s: float

    @property
    def tokens(self) -> int:
        """Tokens granted from both shares together."""
        return self.first_share_tokens + self.second_share_tokens

    def slot_tokens(self, slot: Slot) -> int:
        """Tokens granted from one share."""
        return (
            self.first_share_tokens
            if slot is Slot.FIRST
            else self.second_share_tokens
        )

    def tag(self) -> str:
        """Encodes the grant as the tag that the engine stores and reports.

        The engine stores the tag with the request and returns the tag when
        asked which requests it holds.
        """
        fields = (
            self.grant_id,
            self.owner.vm_id,
            self.owner.incarnation,
            self.entry.vm_id,
            self.entry.incarnation,
            self.first_share_tokens,
            self.second_share_tokens,
            self.lease_number,
        )
        return '/'.join(str(field) for field in fields)


@dataclasses.dataclass(frozen=True)
class Holding:
    """A request that an engine reports as held, with its decoded tag."""

    request_id: ids.RequestId
    attempt: int
    grant_id: ids.GrantId
    owner: ProcessId
    entry: ProcessId
    first_share_tokens: int
    second_share_tokens: int
    lease_number: int

    def slot_tokens(self, slot: Slot) -> int:
        """Tokens that the request was granted from one share."""
        return (
            self.first_share_tokens
            if slot is Slot.FIRST
            else self.second_share_tokens
        )


def parse_tag(
    request_id: ids.RequestId, attempt: int, tag: str
) -> Holding | None:
    """Decodes the tag of a grant; returns None if the tag is malformed."""
    try:
        grant_id, owner, owner_run, entry, entry_run, *numbers = tag.split('/')
        first, second, lease_number = numbers
        return Holding(
            request_id=request_id,
            attempt=attempt,
            grant_id=ids.GrantId(grant_id),
            owner=ProcessId(ids.VmId(owner), ids.Incarnation(int(owner_run))),
            entry=ProcessId(ids.VmId(entry), ids.Incarnation(int(entry_run))),
            first_share_tokens=int(first),
            second_share_tokens=int(second),
            lease_number=int(lease_number),
        )
    except ValueError:
        return None


@dataclasses.dataclass
class Lease:
    """A lease on a second share, as recorded by the lender."""

    number: int
    borrower: ProcessId
    tokens: int
    # On the lender's clock; at least `ledger.GRANT_VISIBLE_S` after the lease
    # ends at the borrower.
    expires_at_s: float


@dataclasses.dataclass
class Share:
    """A share of an engine's memory that this process holds."""

    key: ShareKey
    size_tokens: int
    # Tokens of this share that may be in use under grants which this ledger
    # does not record, such as those of a previous holder.
    debit_tokens: int
    # Only a report that the engine was asked for at this time or later may
    # lower `debit_tokens`.
    reconcile_from_s: float
    lease: Lease | None = None
    # Whether leases are no longer started or renewed, since another process
    # claims the share.
    is_lending_stopped: bool = False


@dataclasses.dataclass
class Loan:
    """A lease on a second share, as recorded by the borrower."""

    lender: ProcessId
    lease_number: int
    tokens: int
    valid_until_s: float


class ClaimVerdict(enum.Enum):
    """Result of a claim at one process that was asked for the share."""

    DENIED = 0
    NOT_HELD = 1
    HANDED_OVER = 2


@dataclasses.dataclass(frozen=True)
class ClaimAnswer:
    """Answer of one process to a claim.

    If the share is handed over, `granted_tokens` is the part of the share that
    may still be in use.
    """

    key: ShareKey
    verdict: ClaimVerdict
    granted_tokens: int = 0
