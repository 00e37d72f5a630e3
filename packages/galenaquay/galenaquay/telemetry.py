"""Counters, gauges and latency histograms in the Prometheus text format."""

import bisect
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
        self._buckets: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}
        self._gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1, **labels: object) -> None:
        """Adds an amount to a counter."""
        pairs = ','.join(f'{key}="{labels[key]}"' for key in sorted(labels))
        key = f'{PREFIX}_{name}_total{{{pairs}}}'
        self._counts[key] = self._counts.get(key, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Sets the value of a gauge."""
        self._gauges[f'{PREFIX}_{name}'] = value

    def observe(self, name: str, seconds: float) -> None:
        """Adds a duration to a histogram."""
        buckets = self._buckets.setdefault(name, [0] * (len(BOUNDS_S) + 1))
        buckets[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self._sums_s[name] = self._sums_s.get(name, 0.0) + seconds

    def text(self) -> str:
        """Returns all metrics as text, one sample per line."""
        lines = [f'{key} {n}' for key, n in sorted(self._counts.items())]
        lines += [f'{key} {n}' for key, n in sorted(self._gauges.items())]
        for name, buckets in sorted(self._buckets.items()):
            total = 0
            for bound, n in zip([*BOUNDS_S, '+Inf'], buckets, strict=True):
                total += n
                lines.append(f'{PREFIX}_{name}_bucket{{le="{bound}"}} {total}')
            lines.append(f'{PREFIX}_{name}_sum {self._sums_s[name]:.6f}')
            lines.append(f'{PREFIX}_{name}_count {total}')
        return '\n'.join(lines) + '\n'
