"""At-most-once execution of non-idempotent service calls by means of tickets.

A ticket permits one call and names the process that issued the ticket, called
the ticket's home. Only the home runs the call, and only until the home process
restarts, so the home's in-memory records are sufficient to decide whether the
call has run. docs/design/outcomes.md compares this design with keys that carry
their issue time and with refusing non-idempotent calls.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import dataclasses
import time
from typing import Final

from galenaquay_api import peer_pb2

from .. import codes
from .. import ids
from ..limits import claims
from ..limits import shares
from ..ports import services as services_port

# Time from the issue of a ticket to the removal of the ticket's record, in
# seconds. The record of a call that is still running is kept longer, and so
# are the records of all tickets that were issued later.
RECORD_TTL_S: Final = 600.0
# Maximum number of ticket records in one process.
MAX_RECORDS: Final = 50_000
# Largest response body that is kept for repeats of a call, in bytes. If the
# body was larger, a repeat that arrives after the call gets an empty body.
MAX_RECORDED_BYTES: Final = 16 * 1024


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Permission to make one non-idempotent call."""

    home: shares.ProcessId
    number: int

    def __str__(self) -> str:
        return f'{self.home.vm_id}.{self.home.incarnation}.{self.number}'


def parse_ticket(text: str) -> Ticket | codes.Failure:
    """Parses the text form in which callers send a ticket."""
    parts = text.rsplit('.', 2)
    try:
        vm_id, incarnation, number = parts
        home = shares.ProcessId(
            ids.VmId(vm_id), ids.Incarnation(int(incarnation))
        )
        return Ticket(home, int(number))
    except ValueError:
        return codes.failure(codes.Code.TICKET_MALFORMED)


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """A caller's request to call a plain service."""

    # An idempotent call needs no ticket and has a placeholder with number 0.
    ticket: Ticket
    account_id: ids.AccountId
    route: ids.RouteName
    method: str
    path: str
    body: bytes
    content_type: str
    remaining_s: float
    traceparent: str


@dataclasses.dataclass(frozen=True)
class CallResult:
    """The service's response, received now or taken from a ticket's record."""

    response: services_port.ServiceResponse
    is_replayed: bool = False


Outcome = CallResult | codes.Failure


@dataclasses.dataclass(eq=False)
class _Record:
    """The state of one issued ticket."""

    account_id: ids.AccountId
    issued_at_s: float
    # Task that runs the call. None if the call has not been started, or if the
    # last run ended with the certainty that the service did not run the call.
    run: asyncio.Task[Outcome] | None = None
    # Final outcome; None until the call has ended.
    outcome: Outcome | None = None


CallRunner = Callable[[CallRequest], Awaitable[Outcome]]


class Home:
    """Issues tickets and runs each ticket's call at most once."""

    me: shares.ProcessId

    def __init__(
        self,
        me: shares.ProcessId,
        run_call: CallRunner,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.me = me
        self._run_call = run_call
        self._clock = clock
        self._next_number = 1
        # Keyed by the ticket's number, the oldest ticket first.
        self._records_by_number: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )
        self._is_closing = False

    def issue(self, account_id: ids.AccountId) -> Ticket | codes.Failure:
        """Issues a ticket for one call by a client account."""
        self._remove_expired()
        if self._is_closing:
            return codes.failure(codes.Code.ENTRY_LEAVING)
        if len(self._records_by_number) >= MAX_RECORDS:
            return codes.failure(codes.Code.ENTRY_FULL, 'of tickets', 1.0)
        number = self._next_number
        self._next_number += 1
        self._records_by_number[number] = _Record(account_id, self._clock())
        return Ticket(self.me, number)

    def _remove_expired(self) -> None:
        expired_before_s = self._clock() - RECORD_TTL_S
        while self._records_by_number:
            number, record = next(iter(self._records_by_number.items()))
            is_running = record.run is not None and record.outcome is None
            if record.issued_at_s > expired_before_s or is_running:
                return
            del self._records_by_number[number]

    def close(self) -> None:
        """Stops issuing tickets and voids every ticket that is unused."""
        self._is_closing = True

    async def drain(self) -> None:
        """Waits until no call is running."""
        runs = [
            record.run
            for record in self._records_by_number.values()
            if record.run is not None and not record.run.done()
        ]
        if runs:
            await asyncio.wait(runs)

    async def call(self, call: CallRequest) -> Outcome:
        """Runs a ticket's call, or returns the outcome of the earlier run."""
        record = self._find_record(call)
        if isinstance(record, codes.Failure):
            return record
        if record.outcome is not None:
            return _mark_replayed(record.outcome)
        is_repeat = record.run is not None
        if record.run is None:
            if self._is_closing:
                return codes.failure(codes.Code.TICKET_VOID)
            record.run = asyncio.create_task(self._run(record, call))
        return await _wait_for_run(record.run, call.remaining_s, is_repeat)

    def _find_record(self, call: CallRequest) -> _Record | codes.Failure:
        if call.ticket.home != self.me:
            return codes.failure(codes.Code.HOME_GONE, 'it was restarted')
        if not 0 < call.ticket.number < self._next_number:
            return codes.failure(codes.Code.TICKET_MALFORMED, 'never issued')
        record = self._records_by_number.get(call.ticket.number)
        if record is None:
            return codes.failure(codes.Code.RECORD_FORGOTTEN)
        if record.account_id != call.account_id:
            return codes.failure(codes.Code.TICKET_MALFORMED, 'not yours')
        return record

    async def _run(self, record: _Record, call: CallRequest) -> Outcome:
        outcome = await self._run_call(call)
        if isinstance(outcome, codes.Failure) and outcome.is_not_run:
            # The service has certainly not run the call, so a repeat with the
            # same ticket may run the call.
            record.run = None
            return outcome
        record.outcome = _drop_large_body(outcome)
        return outcome


async def _wait_for_run(
    run: asyncio.Task[Outcome], remaining_s: float, is_repeat: bool
) -> Outcome:
    try:
        async with asyncio.timeout(remaining_s):
            outcome = await asyncio.shield(run)
    except TimeoutError:
        return codes.failure(codes.Code.CALL_IN_PROGRESS)
    return _mark_replayed(outcome) if is_repeat else outcome


def _drop_large_body(outcome: Outcome) -> Outcome:
    if isinstance(outcome, codes.Failure):
        return outcome
    if len(outcome.response.body) <= MAX_RECORDED_BYTES:
        return outcome
    without_body = dataclasses.replace(outcome.response, body=b'')
    return CallResult(without_body)


def _mark_replayed(outcome: Outcome) -> Outcome:
    if isinstance(outcome, codes.Failure):
        return outcome
    return CallResult(outcome.response, is_replayed=True)


def call_to_request(
    call: CallRequest, sender: shares.ProcessId
) -> peer_pb2.ServiceCallRequest:
    """Converts a call to a protobuf request for the ticket's home."""
    return peer_pb2.ServiceCallRequest(
        sender=claims.sender_message(sender),
        ticket=str(call.ticket),
        account_id=call.account_id,
        route=call.route,
        method=call.method,
        path=call.path,
        body=call.body,
        content_type=call.content_type,
        remaining_ms=int(call.remaining_s * 1000),
        traceparent=call.traceparent,
    )


def request_to_call(request: peer_pb2.ServiceCallRequest) -> CallRequest:
    """Converts a protobuf request to a call.

    A malformed ticket is replaced by a ticket that no process has issued, so
    that the home refuses the call.
    """
    ticket = parse_ticket(request.ticket)
    if isinstance(ticket, codes.Failure):
        ticket = Ticket(shares.ProcessId(ids.VmId(''), ids.Incarnation(0)), 0)
    return CallRequest(
        ticket=ticket,
        account_id=ids.AccountId(request.account_id),
        route=ids.RouteName(request.route),
        method=request.method,
        path=request.path,
        body=request.body,
        content_type=request.content_type,
        remaining_s=request.remaining_ms / 1000,
        traceparent=request.traceparent,
    )


def outcome_to_reply(outcome: Outcome) -> peer_pb2.ServiceCallReply:
    """Converts an outcome to a protobuf reply."""
    if isinstance(outcome, codes.Failure):
        return peer_pb2.ServiceCallReply(
            code=int(outcome.code), reason=outcome.detail
        )
    return peer_pb2.ServiceCallReply(
        status=outcome.response.status,
        body=outcome.response.body,
        content_type=outcome.response.content_type,
        replayed=outcome.is_replayed,
    )


def reply_to_outcome(reply: peer_pb2.ServiceCallReply) -> Outcome:
    """Converts a protobuf reply to an outcome."""
    if reply.code:
        return codes.failure(codes.Code(reply.code), reply.reason)
    response = services_port.ServiceResponse(
        reply.status, reply.body, reply.content_type
    )
    return CallResult(response, reply.replayed)
