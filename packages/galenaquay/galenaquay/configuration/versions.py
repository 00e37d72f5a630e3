"""Acceptance of published documents, and the version in force.

The version in force never decreases. Whether a candidate is accepted depends
only on the candidate and the document in force, so all VMs decide alike.
Documents are fetched by the package `membership`, the module `watch` and the
platform's adapter.
"""

import asyncio
import dataclasses
import enum
from typing import Final, Generic, TypeVar

import pydantic

from . import documents

_D = TypeVar('_D', documents.Document, documents.VmList)

# Number of latest refusals that the operators' status page shows.
MAX_REFUSALS: Final = 8


class Verdict(enum.Enum):
    """Result of the decision on a candidate document."""

    ACCEPTED = 'accepted'
    SAME = 'same'
    OLDER = 'older'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True)
class Decision(Generic[_D]):
    """A verdict with its reason and, if accepted, the parsed document."""

    verdict: Verdict
    reason: str = ''
    document: _D | None = None


def parse_document(kind: type[_D], body: bytes) -> _D | str:
    """Parses a published document, or returns the reason to refuse it."""
    if len(body) > documents.MAX_DOCUMENT_BYTES:
        return f'is {len(body)} bytes long, over a megabyte'
    try:
        return kind.model_validate_json(body)
    except pydantic.ValidationError as exc:
        return '; '.join(
            f'{".".join(str(p) for p in e["loc"]) or "(whole)"}: {e["msg"]}'
            for e in exc.errors()
        )


def decide(
    kind: type[_D], in_force: _D | None, body_in_force: bytes, body: bytes
) -> Decision[_D]:
    """Decides whether a candidate document replaces the one in force.

    Args:
        kind: Type of both documents.
        in_force: The document in force, None before the first.
        body_in_force: The bytes from which `in_force` was parsed.
        body: The bytes of the candidate.
    """
    parsed = parse_document(kind, body)
    if isinstance(parsed, str):
        return Decision(Verdict.REFUSED, parsed)
    if in_force is None or parsed.version > in_force.version:
        return Decision(Verdict.ACCEPTED, '', parsed)
    if parsed.version < in_force.version:
        return Decision(Verdict.OLDER, f'{in_force.version} is in force')
    if parsed == in_force or body == body_in_force:
        return Decision(Verdict.SAME)
    reason = (
        f'differs from the document in force with version {parsed.version}'
    )
    return Decision(Verdict.REFUSED, reason)


class DocumentInForce(Generic[_D]):
    """The document in force of one kind, and an event for its next change."""

    # The document in force; None until the first is accepted.
    document: _D | None
    # The document that was in force before the current one.
    previous: _D | None
    # The published bytes of the document, which peers receive unchanged.
    body: bytes
    # Reasons of the latest refused candidates, oldest first.
    refusals: list[str]

    def __init__(self, kind: type[_D]) -> None:
        self.document = None
        self.previous = None
        self.body = b''
        self.refusals = []
        self._kind: type[_D] = kind
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        """The version in force; 0 until the first document is accepted."""
        return 0 if self.document is None else self.document.version

    def offer(self, body: bytes) -> tuple[Verdict, str]:
        """Puts a candidate in force if it is accepted.

        Returns:
            The verdict and the reason for it, which is empty if the candidate
            is accepted or the same as the document in force.
        """
        decision = decide(self._kind, self.document, self.body, body)
        if decision.verdict is Verdict.ACCEPTED:
            self.previous = self.document
            self.document = decision.document
            self.body = body
            self._changed.set()
            self._changed = asyncio.Event()
        elif decision.verdict is Verdict.REFUSED:
            self._add_refusal(decision.reason)
        return decision.verdict, decision.reason

    def _add_refusal(self, reason: str) -> None:
        if reason not in self.refusals:
            self.refusals.append(reason)
            del self.refusals[:-MAX_REFUSALS]

    async def wait_changed(self) -> None:
        """Waits until another version is put in force."""
        await self._changed.wait()
