"""Failure detector: judges primaries by the evidence of the proxies."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.messages.control import Evidence


@dataclass(slots=True, kw_only=True)
class Observation:
    """What one proxy says about one upstream.

    Parameters
    ----------
    bad_since_ms : float
        Time since which the proxy has not reported ``'up'``.
    state_since_ms : float
        Time since which the proxy reports the present state.
    """

    state: Evidence
    bad_since_ms: float
    state_since_ms: float


@dataclass(slots=True, kw_only=True)
class Reporter:
    """A proxy that reports evidence.

    Parameters
    ----------
    live_until_ms : float
        End of the lease that its last report is good for; its evidence
        counts until then.
    """

    live_until_ms: float
    observations: dict[str, Observation] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class FailureDetector:
    """Evidence of all proxies.

    Parameters
    ----------
    refused_ms, silent_ms : float
        Time for which an upstream must be reported refused, or silent or
        stalled.
    live_ms : float
        Time for which a proxy counts after its last report.
    watched_since_ms : dict of str to float
        Upstream to the time since which it is the primary; evidence from
        before that does not count against it.
    """

    refused_ms: float
    silent_ms: float
    live_ms: float
    reporters: dict[str, Reporter] = field(default_factory=dict)
    watched_since_ms: dict[str, float] = field(default_factory=dict)


def record_evidence(
    detector: FailureDetector,
    now_ms: float,
    proxy: str,
    evidence: Mapping[str, Evidence],
) -> None:
    """Take the evidence of one report.

    An upstream that the report does not mention is not judged by it.
    """
    reporter = detector.reporters.get(proxy)
    if reporter is None or reporter.live_until_ms <= now_ms:
        reporter = Reporter(live_until_ms=now_ms)
        detector.reporters[proxy] = reporter
    reporter.live_until_ms = now_ms + detector.live_ms
    observations = {}
    for upstream, state in evidence.items():
        observations[upstream] = _observe(
            now_ms, reporter.observations.get(upstream), state
        )
    reporter.observations = observations


def _observe(
    now_ms: float, before: Observation | None, state: Evidence
) -> Observation:
    if before is None or before.state == 'up' or state == 'up':
        return Observation(
            state=state, bad_since_ms=now_ms, state_since_ms=now_ms
        )
    since_ms = before.state_since_ms if before.state == state else now_ms
    return Observation(
        state=state,
        bad_since_ms=before.bad_since_ms,
        state_since_ms=since_ms,
    )


def remove_proxy(detector: FailureDetector, proxy: str) -> None:
    """Drop a proxy that is no longer a member."""
    detector.reporters.pop(proxy, None)


def watch(detector: FailureDetector, upstream: str, since_ms: float) -> None:
    """Judge `upstream` only by evidence from `since_ms` on."""
    detector.watched_since_ms[upstream] = since_ms


def is_suspected(
    detector: FailureDetector, now_ms: float, upstream: str
) -> bool:
    """Tell whether a live proxy reports an upstream as unreachable."""
    for reporter in detector.reporters.values():
        observation = reporter.observations.get(upstream)
        if now_ms < reporter.live_until_ms and observation is not None:
            if observation.state != 'up':
                return True
    return False


def failed_at_ms(
    detector: FailureDetector,
    now_ms: float,
    upstream: str,
    electorate: int = 0,
) -> float | None:
    """Return when `upstream` counts as failed on the present evidence.

    Parameters
    ----------
    electorate : int
        Proxies of which most must object, if more than are live.

    Returns
    -------
    float or None
        A time up to `now_ms` if it has failed already; a later time if it
        will unless other evidence arrives; None if too few proxies object.
    """
    live = [
        reporter
        for reporter in detector.reporters.values()
        if now_ms < reporter.live_until_ms
    ]
    floor_ms = detector.watched_since_ms.get(upstream, 0)
    votes = sorted(
        vote
        for reporter in live
        if (vote := _vote_ms(detector, reporter, upstream, floor_ms))
        is not None
    )
    needed = max(len(live), electorate) // 2 + 1
    if not live or len(votes) < needed:
        return None
    return votes[needed - 1]


def _vote_ms(
    detector: FailureDetector,
    reporter: Reporter,
    upstream: str,
    floor_ms: float,
) -> float | None:
    observation = reporter.observations.get(upstream)
    if observation is None or observation.state == 'up':
        return None
    silent_at = max(observation.bad_since_ms, floor_ms) + detector.silent_ms
    if observation.state != 'refused':
        return silent_at
    refused_at = (
        max(observation.state_since_ms, floor_ms) + detector.refused_ms
    )
    return min(refused_at, silent_at)


def is_refused(
    detector: FailureDetector, now_ms: float, upstream: str
) -> bool:
    """Tell whether most live proxies find nobody at an upstream's address."""
    live = [
        reporter
        for reporter in detector.reporters.values()
        if now_ms < reporter.live_until_ms
    ]
    votes = sum(
        1
        for reporter in live
        if upstream in reporter.observations
        and reporter.observations[upstream].state == 'refused'
    )
    return votes > len(live) // 2


def next_expiry_ms(detector: FailureDetector, now_ms: float) -> float | None:
    """Return when the next proxy stops counting; None without any."""
    ends = [
        reporter.live_until_ms
        for reporter in detector.reporters.values()
        if now_ms < reporter.live_until_ms
    ]
    return min(ends, default=None)
