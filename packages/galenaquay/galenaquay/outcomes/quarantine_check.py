"""Checks one request against the quarantine and records its outcomes there."""

from typing import Final

from .. import ids
from . import admission
from . import dependencies as dependencies_module
from ..engines import directory
from ..limits import blame
from ..limits import request_identities
from ..limits import trial_grants

# Time that a request may take beyond its time limit until its end is known, in
# seconds.
END_MARGIN_S: Final = 0.5


class QuarantineCheck:
    """Decides whether one request may be sent to engines.

    A request that is sent as a trial covers one attempt: an attempt that may
    have reached an engine uses the trial up.
    """

    # The identities of the request; none if it is not sent to engines.
    identities: tuple[ids.PromptPartId, ...]

    def __init__(
        self,
        dependencies: dependencies_module.Dependencies,
        admitted: admission.AdmittedRequest,
    ) -> None:
        self._quarantine = dependencies.quarantine
        self._grants = dependencies.trial_grants
        request = admitted.request
        self._parts = request.shared_parts
        self.identities = ()
        if admitted.service.engine is not None:
            self.identities = request_identities.identify(
                request.last_part,
                request.body,
                admitted.route.name,
                admitted.account,
            )
        # Number of engines that ended under the attempts of this request.
        self._ends = 0
        self._granted: trial_grants.GrantedTrial | None = None
        self._is_used_up = False

    def is_suspected(self) -> bool:
        """Returns whether an engine has ended under a part or an identity."""
        return self._quarantine.is_suspected(self._parts, self.identities)

    async def find_blamed(
        self, time_left_s: float
    ) -> frozenset[ids.PromptPartId]:
        """Returns the blamed parts of the request; none if it may be sent.

        Args:
            time_left_s: Time until the request is given up, in seconds.
        """
        if self._ends >= blame.MIN_IDENTITY_ENDS:
            return frozenset(self.identities)
        if self._granted is not None and not self._is_used_up:
            return frozenset()
        prompt = self._quarantine.assess(self._parts, self.identities)
        if prompt is None:
            return frozenset()
        self.close()
        self._granted = await self._grants.request(
            prompt, time_left_s + END_MARGIN_S
        )
        self._is_used_up = False
        return frozenset() if self._granted is not None else prompt.parts

    def record_sent(self) -> None:
        """Records a failed attempt that an engine may have run."""
        self._is_used_up = True

    def record_end(
        self,
        endpoint: directory.Endpoint,
        sent_at_s: float,
        *,
        is_before_head: bool,
    ) -> None:
        """Records that an engine ended before it answered the request.

        Args:
            endpoint: The engine.
            sent_at_s: When the request was sent, on the quarantine's clock.
            is_before_head: Whether the head of the response had not come.
        """
        self._ends += 1
        self._quarantine.record_end(
            endpoint,
            self._parts,
            sent_at_s,
            self.identities,
            is_before_head=is_before_head,
            is_trial=self._granted is not None,
        )
        # The lease ends when the VM that granted the trial learns of the end.
        # If the trial were given back before that, the VM could grant another
        # one too early.
        self._granted = None

    def record_answer(self) -> None:
        """Records that an engine has written an answer to the request."""
        self._quarantine.record_answer(self._parts, self.identities)

    def close(self) -> None:
        """Gives back a trial that has not ended an engine."""
        if self._granted is not None:
            self._grants.give_back(self._granted)
            self._granted = None
