"""Obtains and grants trials of prompts with blamed parts.

The VM that ranks first for a blamed part grants its trials, so that one prompt
at a time is tried in the whole fleet (`trials` decides when). If that VM does
not reply, the next VM by rank grants them for a time. While VMs know different
members, two VMs may grant one trial each.
"""

import asyncio
from collections.abc import Callable
import logging
import time
from typing import Final

from .. import ids
from .. import telemetry
from ..membership import fleet as fleet_module
from ..membership import ranks
from ..ports import trials as trials_port
from . import quarantine as quarantine_module
from . import trials

LOG: Final = logging.getLogger(__name__)
# Time for which a VM that did not reply is not asked again, in seconds.
SILENT_S: Final = 3.0
# Number of VMs by rank that may grant trials of a part. Each of them may grant
# one at a time if VMs do not agree on which of them replies.
GRANTERS: Final = 2
# Largest number of kinds of prompts for which the time of the next request for
# a trial is remembered. If there are more, all these times are forgotten.
MAX_ASKED: Final = 512

_Kind = tuple[frozenset[ids.PromptPartId], int, bool]


class GrantedTrial:
    """A trial, and the VM that has granted it."""

    def __init__(
        self, trial: trials_port.Trial, granter: fleet_module.Member
    ) -> None:
        self.trial = trial
        self.granter = granter


class TrialGrants:
    """Asks other VMs for trials, and grants the trials that they ask for."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        quarantine: quarantine_module.Quarantine,
        peers: trials_port.TrialPeers,
        metrics: telemetry.TextMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._quarantine = quarantine
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._leases = trials.TrialLeases(clock)
        self._number = 0
        # Parts for which this VM is asking at this moment.
        self._asking: set[frozenset[ids.PromptPartId]] = set()
        # When to ask again, by the kind of prompt that was refused.
        self._ask_at_s_by_kind: dict[_Kind, float] = {}
        # Until when VMs that did not reply are not asked.
        self._silent_until_s_by_vm: dict[ids.VmId, float] = {}
        self._returning: set[asyncio.Task[None]] = set()

    async def request(
        self, prompt: trials.BlamedPrompt, duration_s: float
    ) -> GrantedTrial | None:
        """Requests that a prompt with blamed parts may be sent as a trial.

        Args:
            prompt: What is blamed of the prompt.
            duration_s: Time after which the request has ended, in seconds.

        Returns:
            The trial; None if the prompt must not be sent.
        """
        kind = (prompt.parts, prompt.suspicion, prompt.is_same_request)
        granter = self._find_granter(prompt.parts)
        if (
            granter is None
            or prompt.evidence is None
            or not self._may_ask(prompt, kind)
        ):
            return None
        self._number += 1
        me = self._fleet.me
        trial = trials_port.Trial(
            trials_port.TrialId(f'{me.vm_id}/{me.incarnation}/{self._number}'),
            prompt.parts,
            prompt.suspicion,
            prompt.is_same_request,
            duration_s,
        )
        self._asking.add(prompt.parts)
        try:
            wait_s = await self._ask(granter, trial)
        finally:
            self._asking.discard(prompt.parts)
        granted = GrantedTrial(trial, granter)
        if wait_s is None:
            # The VM may have granted the trial after all.
            self.give_back(granted)
        outcome = 'no reply'
        if wait_s is not None:
            outcome = 'refused' if wait_s > 0 else 'granted'
        self._metrics.count('quarantine_trials', outcome=outcome)
        LOG.info(
            'trial of blamed parts requested',
            extra={
                'trial': trial.id,
                'granter': granter.vm_id,
                'parts': sorted(prompt.parts),
                'last_end_age_s': round(prompt.evidence.last_end_age_s, 3),
                'failed_trials': prompt.evidence.failed_trials,
                'was_answered': prompt.evidence.was_answered,
                'suspicion': prompt.suspicion,
                'outcome': outcome,
            },
        )
        if wait_s == 0:
            return granted
        self._put_off(kind, trials.RETRY_S if wait_s is None else wait_s)
        return None

    def _may_ask(self, prompt: trials.BlamedPrompt, kind: _Kind) -> bool:
        evidence = prompt.evidence
        if evidence is None or prompt.parts in self._asking:
            return False
        if self._ask_at_s_by_kind.get(kind, 0.0) > self._clock():
            return False
        return not trials.time_until_due_s(
            evidence, prompt.suspicion, prompt.is_same_request
        )

    def _put_off(self, kind: _Kind, wait_s: float) -> None:
        if len(self._ask_at_s_by_kind) >= MAX_ASKED:
            self._ask_at_s_by_kind.clear()
        # The VM that grants may know of a later end. Load reports bring that
        # end to this VM soon, so the wait is limited.
        self._ask_at_s_by_kind[kind] = self._clock() + min(
            wait_s, trials.ANSWERED_WAIT_S
        )

    def _find_granter(
        self, parts: frozenset[ids.PromptPartId]
    ) -> fleet_module.Member | None:
        """Returns the VM to ask; None if no VM that may grant replies."""
        now_s = self._clock()
        me = self._fleet.me
        members_by_id = {
            member.vm_id: member for member in (me, *self._fleet.members())
        }
        for vm_id in ranks.rank_vms(
            f'trial/{min(parts)}', members_by_id, GRANTERS
        ):
            silent_until_s = self._silent_until_s_by_vm.get(vm_id, 0.0)
            if vm_id == me.vm_id or silent_until_s <= now_s:
                return members_by_id[vm_id]
        return None

    async def _ask(
        self, granter: fleet_module.Member, trial: trials_port.Trial
    ) -> float | None:
        if granter.vm_id == self._fleet.me.vm_id:
            return self.handle_request(trial)
        wait_s = await self._peers.request_trial(granter.address, trial)
        if wait_s is None:
            now_s = self._clock()
            self._silent_until_s_by_vm = {
                vm_id: until_s
                for vm_id, until_s in self._silent_until_s_by_vm.items()
                if until_s > now_s
            }
            self._silent_until_s_by_vm[granter.vm_id] = now_s + SILENT_S
        return wait_s

    def handle_request(self, trial: trials_port.Trial) -> float:
        """Grants a trial that a VM asks for, or refuses it.

        Returns:
            0 if the trial is granted, else the time for which asking again is
            useless, in seconds.
        """
        evidence = self._quarantine.evidence(trial.blamed_parts)
        wait_s = self._leases.grant(trial, evidence)
        if wait_s == 0:
            LOG.info(
                'trial of blamed parts granted',
                extra={
                    'trial': trial.id,
                    'parts': sorted(trial.blamed_parts),
                    'duration_s': round(trial.duration_s, 3),
                },
            )
        return wait_s

    def handle_return(self, trial_id: trials_port.TrialId) -> None:
        """Ends the lease of a trial that a VM gives back."""
        self._leases.release(trial_id)

    def give_back(self, granted: GrantedTrial) -> None:
        """Ends a trial whose request has ended without ending an engine."""
        trial_id = granted.trial.id
        if granted.granter.vm_id == self._fleet.me.vm_id:
            self.handle_return(trial_id)
            return
        task = asyncio.ensure_future(
            self._peers.give_back(granted.granter.address, trial_id)
        )
        self._returning.add(task)
        task.add_done_callback(self._returning.discard)
