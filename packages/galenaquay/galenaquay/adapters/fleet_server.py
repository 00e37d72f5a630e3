"""Serves the calls of other VMs over gRPC."""

from typing import Any

from galenaquay_api import fleet_grpc as fleet_api
import grpclib.server

from . import fleet_grpc
from ..limits import trial_grants
from . import trial_grpc


class FleetServer(fleet_api.FleetBase):
    """Implements the gRPC service `Fleet`."""

    def __init__(
        self,
        reports: fleet_grpc.FleetReports,
        grants: trial_grants.TrialGrants,
    ) -> None:
        self._reports = reports
        self._grants = grants

    async def Report(  # noqa: N802
        self, stream: 'grpclib.server.Stream[Any, Any]'
    ) -> None:
        """Handles one load report."""
        report = await stream.recv_message()
        if report is not None:
            await stream.send_message(self._reports.handle_report(report))

    async def RequestTrial(  # noqa: N802
        self, stream: 'grpclib.server.Stream[Any, Any]'
    ) -> None:
        """Handles one request for a trial of blamed parts."""
        await trial_grpc.handle_request_trial(self._grants, stream)
