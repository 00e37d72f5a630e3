"""Counters, gauges and latency histograms in the Prometheus text format."""

import bisect
from collections.abc import Mapping
from typing import Final

# Upper bounds of the histogram buckets, in seconds.
BOUNDS_S: Final = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0,
)  # fmt: skip
PREFIX: Final = 'galenaquay'


class TextMetrics:
    """Collects the metrics of this process."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        # By name and labels.
        self._buckets: dict[tuple[str, str], list[int]] = {}
        self._sums_s: dict[tuple[str, str], float] = {}
        self._gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1, **labels: object) -> None:
        """Adds an amount to a counter."""
        key = f'{PREFIX}_{name}_total{{{_pairs(labels)}}}'
        self._counts[key] = self._counts.get(key, 0) + amount

    def gauge(self, name: str, value: float, **labels: object) -> None:
        """Sets the value of a gauge."""
        suffix = f'{{{_pairs(labels)}}}' if labels else ''
        self._gauges[f'{PREFIX}_{name}{suffix}'] = value

    def observe(self, name: str, seconds: float, **labels: object) -> None:
        """Adds a duration to a histogram."""
        key = (name, _pairs(labels))
        buckets = self._buckets.setdefault(key, [0] * (len(BOUNDS_S) + 1))
        buckets[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self._sums_s[key] = self._sums_s.get(key, 0.0) + seconds

    def text(self) -> str:
        """Returns all metrics as text, one sample per line."""
        lines = [f'{key} {n}' for key, n in sorted(self._counts.items())]
        lines += [f'{key} {n}' for key, n in sorted(self._gauges.items())]
        for key, buckets in sorted(self._buckets.items()):
            name, pairs = f'{PREFIX}_{key[0]}', key[1]
            before = f'{pairs},' if pairs else ''
            suffix = f'{{{pairs}}}' if pairs else ''
            total = 0
            for bound, n in zip([*BOUNDS_S, '+Inf'], buckets, strict=True):
                total += n
                lines.append(f'{name}_bucket{{{before}le="{bound}"}} {total}')
            lines.append(f'{name}_sum{suffix} {self._sums_s[key]:.6f}')
            lines.append(f'{name}_count{suffix} {total}')
        return '\n'.join(lines) + '\n'


def _pairs(labels: Mapping[str, object]) -> str:
    return ','.join(f'{key}="{labels[key]}"' for key in sorted(labels))
