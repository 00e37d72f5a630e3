"""Label selectors with the equality and set operators of Kubernetes.

This module parses and matches selectors. Operators define the meaning of the
labels.
"""

from collections.abc import Mapping
import dataclasses
import enum
import re
from typing import Final

_KEY: Final = r'[A-Za-z0-9][A-Za-z0-9_./-]*'
_VALUE: Final = r'[A-Za-z0-9_.-]*'
_SET: Final = re.compile(
    rf'^({_KEY})\s+(in|notin)\s+\(\s*({_VALUE}(?:\s*,\s*{_VALUE})*)\s*\)$'
)
_EQUALITY: Final = re.compile(rf'^({_KEY})\s*(==|=|!=)\s*({_VALUE})$')
_EXISTS: Final = re.compile(rf'^(!?)\s*({_KEY})$')
# A comma that separates requirements, but not a comma inside a set.
_SEPARATOR: Final = re.compile(r',(?![^(]*\))')


class Operator(enum.Enum):
    """How a requirement compares a label."""

    IN = 'in'
    NOT_IN = 'notin'
    EXISTS = 'exists'
    ABSENT = 'absent'


class SelectorSyntaxError(ValueError):
    """A selector that cannot be parsed."""


@dataclasses.dataclass(frozen=True)
class Requirement:
    """One condition on the value or presence of one label."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tells whether labels meet the requirement."""
        if self.operator is Operator.EXISTS:
            return self.key in labels
        if self.operator is Operator.ABSENT:
            return self.key not in labels
        is_member = labels.get(self.key) in self.values
        return is_member is (self.operator is Operator.IN)

    def __str__(self) -> str:
        if self.operator is Operator.EXISTS:
            return self.key
        if self.operator is Operator.ABSENT:
            return f'!{self.key}'
        values = ','.join(sorted(self.values))
        return f'{self.key} {self.operator.value} ({values})'


@dataclasses.dataclass(frozen=True)
class Selector:
    """Requirements that must all hold; a selector without any matches all."""

    requirements: tuple[Requirement, ...]

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tells whether labels meet every requirement."""
        return all(r.matches(labels) for r in self.requirements)

    def unmet(self, labels: Mapping[str, str]) -> list[Requirement]:
        """Returns the requirements that labels do not meet."""
        return [r for r in self.requirements if not r.matches(labels)]


def parse(text: str) -> Selector:
    """Parses a selector.

    Raises:
        SelectorSyntaxError: A requirement is not in a known form.
    """
    parts = [p.strip() for p in _SEPARATOR.split(text)]
    if parts == ['']:
        return Selector(())
    return Selector(tuple(_parse_requirement(part) for part in parts))


def _parse_requirement(text: str) -> Requirement:
    if found := _SET.match(text):
        values = frozenset(v.strip() for v in found[3].split(','))
        return Requirement(found[1], Operator(found[2]), values)
    if found := _EXISTS.match(text):
        operator = Operator.ABSENT if found[1] else Operator.EXISTS
        return Requirement(found[2], operator)
    if found := _EQUALITY.match(text):
        is_in = found[2] != '!='
        operator = Operator.IN if is_in else Operator.NOT_IN
        return Requirement(found[1], operator, frozenset([found[3]]))
    raise SelectorSyntaxError(f'cannot read the requirement {text!r}')
