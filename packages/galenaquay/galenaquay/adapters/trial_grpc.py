"""Requests trials of blamed parts from other VMs over gRPC, and handles them.

A call opens a channel of its own: trials are rare, and a VM may not have asked
the VM that grants them before.
"""

import asyncio
import math
from typing import Any, Final

from galenaquay_api import fleet_grpc
from galenaquay_api import fleet_pb2
import grpclib.client
import grpclib.exceptions
import grpclib.server

from .. import ids
from ..limits import trial_grants
from ..ports import trials

# Timeout for the reply to a request for a trial, in seconds. The prompt waits
# for the reply, and is refused without one.
REPLY_TIMEOUT_S: Final = 0.25
# Largest time that a message can hold, in milliseconds.
_MAX_MS: Final = (1 << 32) - 1
_MS_PER_S: Final = 1000


class GrpcTrialPeers:
    """Implements the port `TrialPeers` over gRPC."""

    async def request_trial(
        self, address: str, trial: trials.Trial
    ) -> float | None:
        """Asks a VM to grant a trial; see the port."""
        reply = await self._call(
            address,
            fleet_pb2.TrialRequest(
                trial_id=trial.id,
                blamed_parts=sorted(trial.blamed_parts),
                suspicion=trial.suspicion,
                is_same_request=trial.is_same_request,
                duration_ms=_to_ms(trial.duration_s),
            ),
        )
        if reply is None:
            return None
        # A refusal returns at least 1 ms, since 0 means a granted trial.
        return 0.0 if reply.granted else max(1, reply.wait_ms) / _MS_PER_S

    async def give_back(self, address: str, trial_id: trials.TrialId) -> None:
        """Tells a VM that a trial is over; see the port."""
        await self._call(
            address, fleet_pb2.TrialRequest(trial_id=trial_id, is_over=True)
        )

    async def _call(
        self, address: str, request: fleet_pb2.TrialRequest
    ) -> fleet_pb2.TrialReply | None:
        host, _, port = address.rpartition(':')
        channel = grpclib.client.Channel(host, int(port))
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await fleet_grpc.FleetStub(channel).RequestTrial(
                    request
                )
        except (
            OSError,
            TimeoutError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
        ):
            return None
        finally:
            channel.close()


async def handle_request_trial(
    grants: trial_grants.TrialGrants, stream: 'grpclib.server.Stream[Any, Any]'
) -> None:
    """Handles one request of another VM for a trial, or its return."""
    request = await stream.recv_message()
    if request is None:
        return
    await stream.send_message(_reply_to(grants, request))


def _reply_to(
    grants: trial_grants.TrialGrants, request: fleet_pb2.TrialRequest
) -> fleet_pb2.TrialReply:
    trial_id = trials.TrialId(request.trial_id)
    if request.is_over:
        grants.handle_return(trial_id)
        return fleet_pb2.TrialReply()
    wait_s = grants.handle_request(
        trials.Trial(
            trial_id,
            frozenset(map(ids.PromptPartId, request.blamed_parts)),
            request.suspicion,
            request.is_same_request,
            request.duration_ms / _MS_PER_S,
        )
    )
    return fleet_pb2.TrialReply(granted=wait_s == 0, wait_ms=_to_ms(wait_s))


def _to_ms(seconds: float) -> int:
    if seconds * _MS_PER_S >= _MAX_MS:
        return _MAX_MS
    return max(0, math.ceil(seconds * _MS_PER_S))
