"""Counters and latency histograms of one process."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

MIN_DURATION_US = 1
MAX_DURATION_US = 120_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
TEXT_PREFIX = 'jackdawpost'


class Metrics:
    """Set of named counters and duration histograms."""

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        self._counters[name] += by

    def observe(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = build_histogram()
            self._histograms[name] = histogram
        histogram.record_value(max(MIN_DURATION_US, int(value_ms * US_PER_MS)))

    def snapshot(self) -> dict[str, Any]:
        """Return all counters, and summaries of all durations in ms."""
        return {
            'counters': dict(sorted(self._counters.items())),
            'durations_ms': {
                name: summarize_histogram(histogram)
                for name, histogram in sorted(self._histograms.items())
            },
        }

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text format.

        Names of counters end in ``_total``. Durations are summaries in
        milliseconds.
        """
        lines = []
        for name, value in sorted(self._counters.items()):
            metric = f'{TEXT_PREFIX}_{name}_total'
            lines += [
                f'# TYPE {metric} counter',
                f'{metric} {value}',
            ]
        for name, histogram in sorted(self._histograms.items()):
            metric = f'{TEXT_PREFIX}_{name}_ms'
            lines.append(f'# TYPE {metric} summary')
            for percentile in PERCENTILES:
                value_us = histogram.get_value_at_percentile(percentile)
                quantile = f'{percentile / 100:g}'
                lines.append(
                    f'{metric}{{quantile="{quantile}"}} '
                    f'{value_us / US_PER_MS:g}'
                )
            lines.append(f'{metric}_count {histogram.get_total_count()}')
        return '\n'.join([*lines, ''])


def build_histogram() -> HdrHistogram:
    """Return an empty histogram for durations in microseconds."""
    return HdrHistogram(MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS)


def summarize_histogram(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count, and percentiles and maximum in milliseconds."""
    summary: dict[str, float] = {'count': histogram.get_total_count()}
    for percentile in PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        summary[f'p{percentile:g}'] = value_us / US_PER_MS
    summary['max'] = histogram.get_max_value() / US_PER_MS
    return summary
