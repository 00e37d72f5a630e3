"""Decides which replies to load reports list the members of the fleet."""

from collections.abc import Callable
import time
from typing import Final

from .. import ids
from ..membership import fleet as fleet_module

# Time after which a hub's reply to a VM lists the members again, in seconds:
# if the VM knows other members than the hub, and if it knows the same members.
# The lists also show which members have been heard recently.
MEMBER_LIST_MIN_INTERVAL_S: Final = 0.4
MEMBER_LIST_MAX_INTERVAL_S: Final = 2.5


class MemberLists:
    """The lists of members that this VM has sent."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        # When a reply has last listed the members to each VM.
        self._listed_at_s: dict[ids.VmId, float] = {}

    def list_for(
        self, receiver: fleet_module.Member, known_digest: int
    ) -> list[fleet_module.GossipEntry]:
        """Returns the members that a reply lists.

        Args:
            receiver: The member that receives the reply.
            known_digest: The digest of the members that it knows.
        """
        now_s = self._clock()
        listed_at_s = self._listed_at_s.get(receiver.vm_id, float('-inf'))
        interval_s = MEMBER_LIST_MIN_INTERVAL_S
        if known_digest == self._fleet.members_digest():
            interval_s = MEMBER_LIST_MAX_INTERVAL_S
        if not self._fleet.is_mesh() and now_s - listed_at_s < interval_s:
            return []
        self._listed_at_s[receiver.vm_id] = now_s
        return self._fleet.gossip_entries()
