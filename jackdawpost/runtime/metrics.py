"""Counters and latency histograms of one process."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
TEXT_PREFIX = 'jackdawpost'


class Metrics:
    """Counts events and records durations."""

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
        histogram.record_value(max(LOWEST_US, int(value_ms * US_PER_MS)))

    def snapshot(self) -> dict[str, Any]:
        """Return all counters and percentiles, durations in ms."""
        return {
            'counters': dict(sorted(self._counters.items())),
            'durations_ms': {
                name: summarize_histogram(histogram)
                for name, histogram in sorted(self._histograms.items())
            },
        }

    def render_text(self) -> str:
        """Return all metrics in the text format that collectors read.

        Counters end in ``_total``; durations are summaries in milliseconds.
        """
        lines = []
        for name, value in sorted(self._counters.items()):
            full = f'{TEXT_PREFIX}_{name}_total'
            lines += [f'# TYPE {full} counter', f'{full} {value}']
        for name, histogram in sorted(self._histograms.items()):
            full = f'{TEXT_PREFIX}_{name}_ms'
            lines.append(f'# TYPE {full} summary')
            for percentile in PERCENTILES:
                value_us = histogram.get_value_at_percentile(percentile)
                quantile = f'{percentile / 100:g}'
                lines.append(
                    f'{full}{{quantile="{quantile}"}} {value_us / US_PER_MS:g}'
                )
            lines.append(f'{full}_count {histogram.get_total_count()}')
        return '\n'.join([*lines, ''])


def build_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def summarize_histogram(histogram: HdrHistogram) -> dict[str, float]:
    """Return count, percentiles and maximum, in milliseconds."""
    summary: dict[str, float] = {'count': histogram.get_total_count()}
    for percentile in PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        summary[f'p{percentile:g}'] = value_us / US_PER_MS
    summary['max'] = histogram.get_max_value() / US_PER_MS
    return summary
