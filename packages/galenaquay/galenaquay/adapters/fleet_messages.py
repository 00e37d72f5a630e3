"""Converts between the messages of load reports and typed values."""

from collections.abc import Iterable
import math
from typing import Final

from galenaquay_api import fleet_pb2

from .. import ids
from ..engines import workload as workload_module
from ..limits import named_limits
from ..limits import orphaned_memory
from ..limits import reported_parts
from ..membership import fleet as fleet_module
from ..ports import reservations
from ..waiting import sums as sums_module

_MS_PER_S: Final = 1000


def loads_from_messages(
    messages: Iterable[fleet_pb2.EndpointLoad],
) -> dict[ids.EndpointId, workload_module.EndpointLoad]:
    """Decodes the loads of a report or reply, by endpoint."""
    return {
        ids.EndpointId(message.endpoint_id): load_from_message(message)
        for message in messages
    }


def reservation_from_message(
    message: fleet_pb2.Reservation,
) -> orphaned_memory.ReportedReservation:
    """Decodes a reservation."""
    return orphaned_memory.ReportedReservation(
        ids.EndpointId(message.endpoint_id),
        reservations.ReservationId(message.id),
    )


def member_from_message(message: fleet_pb2.Member) -> fleet_module.Member:
    """Decodes a member."""
    return fleet_module.Member(
        ids.VmId(message.vm_id),
        ids.Incarnation(message.incarnation),
        message.address,
        ids.ZoneName(message.zone),
        message.capacity,
    )


def member_message(member: fleet_module.Member) -> fleet_pb2.Member:
    """Encodes a member."""
    return fleet_pb2.Member(
        vm_id=member.vm_id,
        incarnation=member.incarnation,
        address=member.address,
        zone=member.zone,
        capacity=member.capacity,
    )


def gossip_entry_from_message(
    message: fleet_pb2.Member,
) -> fleet_module.GossipEntry:
    """Decodes a member of a list of members."""
    return fleet_module.GossipEntry(
        member_from_message(message), message.silent_ms / _MS_PER_S
    )


def gossip_entry_message(entry: fleet_module.GossipEntry) -> fleet_pb2.Member:
    """Encodes a member of a list of members."""
    message = member_message(entry.member)
    message.silent_ms = int(entry.silent_s * _MS_PER_S)
    return message


def load_message(
    endpoint_id: ids.EndpointId, load: workload_module.EndpointLoad
) -> fleet_pb2.EndpointLoad:
    """Encodes the load of one endpoint."""
    return fleet_pb2.EndpointLoad(
        endpoint_id=endpoint_id,
        running=load.running,
        read_ms=int(load.prefill_s * _MS_PER_S),
        memory_tokens=load.memory_tokens,
        writers=[
            fleet_pb2.Writers(
                max_gap_ms=int(group.max_gap_s * _MS_PER_S),
                count=group.count,
                value=group.value,
            )
            for group in load.decoding_groups
        ],
        helping=load.helper_parts,
        read_urgency=load.prefill_urgency,
    )


def load_from_message(
    message: fleet_pb2.EndpointLoad,
) -> workload_module.EndpointLoad:
    """Decodes the load of one endpoint."""
    return workload_module.EndpointLoad(
        message.running,
        message.read_ms / _MS_PER_S,
        message.memory_tokens,
        tuple(
            workload_module.DecodingGroup(
                group.max_gap_ms / _MS_PER_S, group.count, group.value
            )
            for group in message.writers
        ),
        message.helping,
        message.read_urgency,
    )


def _age_ms(age_s: float) -> int:
    """Returns an age in milliseconds, at least 0."""
    return max(0, math.floor(age_s * _MS_PER_S))


def part_message(part: reported_parts.ReportedPart) -> fleet_pb2.PromptPart:
    """Encodes what is known of a part of prompts."""
    return fleet_pb2.PromptPart(
        part_id=part.part_id,
        ends=[
            fleet_pb2.EngineEnd(
                engine_run=end.engine_run,
                sent_age_ms=_age_ms(end.sent_age_s),
                ended_age_ms=_age_ms(end.ended_age_s),
                before_head=end.is_before_head,
                is_trial=end.is_trial,
            )
            for end in part.ends
        ],
        cleared_age_ms_plus_one=(
            0
            if part.cleared_age_s is None
            else _age_ms(part.cleared_age_s) + 1
        ),
    )


def part_from_message(
    message: fleet_pb2.PromptPart,
) -> reported_parts.ReportedPart:
    """Decodes what another VM knows of a part of prompts."""
    cleared_age_s = None
    if message.cleared_age_ms_plus_one:
        cleared_age_s = (message.cleared_age_ms_plus_one - 1) / _MS_PER_S
    return reported_parts.ReportedPart(
        ids.PromptPartId(message.part_id),
        tuple(
            reported_parts.ReportedEnd(
                ids.EndpointRun(end.engine_run),
                end.sent_age_ms / _MS_PER_S,
                end.ended_age_ms / _MS_PER_S,
                end.before_head,
                end.is_trial,
            )
            for end in message.ends
        ),
        cleared_age_s,
    )


def limit_message(
    limit: named_limits.ReportedLimit,
) -> fleet_pb2.EndpointLimit:
    """Encodes the limit of an endpoint."""
    return fleet_pb2.EndpointLimit(
        endpoint_id=limit.endpoint_id,
        per_s=limit.per_s,
        age_ms=_age_ms(limit.age_s),
    )


def limit_from_message(
    message: fleet_pb2.EndpointLimit,
) -> named_limits.ReportedLimit:
    """Decodes the limit of an endpoint."""
    return named_limits.ReportedLimit(
        ids.EndpointId(message.endpoint_id),
        message.per_s if message.HasField('per_s') else None,
        message.age_ms / _MS_PER_S,
    )


def waiting_messages(
    sums_by_key: sums_module.SumsByKey,
) -> list[fleet_pb2.WaitingSum]:
    """Encodes the sums of waiting requests."""
    return [
        fleet_pb2.WaitingSum(
            service=service,
            priority_class=priority_class,
            requests=waiting.requests,
            read_ms=max(0, int(waiting.prefill_s * _MS_PER_S)),
        )
        for (service, priority_class), waiting in sums_by_key.items()
    ]


def waiting_from_messages(
    messages: Iterable[fleet_pb2.WaitingSum],
) -> dict[sums_module.WaitingKey, sums_module.WaitingSum]:
    """Decodes the sums of waiting requests."""
    return {
        (
            ids.ServiceName(message.service),
            ids.PriorityClass(message.priority_class),
        ): sums_module.WaitingSum(
            message.requests, message.read_ms / _MS_PER_S
        )
        for message in messages
    }
