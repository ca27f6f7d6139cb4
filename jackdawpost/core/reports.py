"""Reports of proxies that state only what has changed."""

from __future__ import annotations

from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import ReportChange


def apply_change(report: ProxyReport, change: ReportChange) -> None:
    """Bring the last report of a proxy up to date, in place."""
    report.seq = change.seq
    report.version = change.version
    report.draining = change.draining
    report.evidence.update(change.evidence)
    if report.upstreams is None:
        report.upstreams = {}
    report.upstreams.update(change.upstreams or {})
    for name in change.gone:
        report.evidence.pop(name, None)
        report.upstreams.pop(name, None)
