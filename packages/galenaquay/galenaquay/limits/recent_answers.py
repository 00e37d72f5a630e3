"""Remembers which parts of prompts engines have answered recently.

Identities of requests are remembered in the same way.
"""

from .. import ids


class RecentAnswers:
    """When engines last answered a prompt of this VM with a part."""

    def __init__(self, max_parts: int) -> None:
        self._max_parts = max_parts
        # In ascending order of the times.
        self._at_s_by_part: dict[ids.PromptPartId, float] = {}

    def record(self, part_id: ids.PromptPartId, now_s: float) -> None:
        """Records an answer; forgets the part not answered for longest."""
        self._at_s_by_part.pop(part_id, None)
        self._at_s_by_part[part_id] = now_s
        if len(self._at_s_by_part) > self._max_parts:
            del self._at_s_by_part[next(iter(self._at_s_by_part))]

    def last_at_s(self, part_id: ids.PromptPartId) -> float | None:
        """Returns when the last answer was recorded; None if not known."""
        return self._at_s_by_part.get(part_id)
