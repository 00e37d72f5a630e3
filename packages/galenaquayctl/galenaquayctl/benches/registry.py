"""Registry of the benchmarks. The decorator `bench` adds a benchmark."""

from collections.abc import Callable
import dataclasses
from typing import Any, Final

Figures = dict[str, Any]
BenchFunction = Callable[['Options'], Figures]


@dataclasses.dataclass(frozen=True)
class Options:
    """The options of a benchmark run."""

    seed: int
    deployment: str
    # Approximate duration of the measured part, in seconds.
    duration_s: float


@dataclasses.dataclass(frozen=True)
class Target:
    """A limit that a measured figure must satisfy."""

    key: str
    # `<=` or `>=`.
    comparison: str
    bound: float

    def is_met(self, figures: Figures) -> bool:
        """Returns whether the figures satisfy the limit."""
        value = figures[self.key]
        if value is None:
            return False
        if self.comparison == '<=':
            return bool(value <= self.bound)
        return bool(value >= self.bound)


@dataclasses.dataclass(frozen=True)
class RegisteredBench:
    """One benchmark with its targets."""

    name: str
    run: BenchFunction
    targets: tuple[Target, ...]


BENCHES_BY_NAME: Final[dict[str, RegisteredBench]] = {}


def bench(
    name: str, *targets: Target
) -> Callable[[BenchFunction], BenchFunction]:
    """Returns a decorator that registers a benchmark under a name."""

    def register(function: BenchFunction) -> BenchFunction:
        BENCHES_BY_NAME[name] = RegisteredBench(name, function, targets)
        return function

    return register
