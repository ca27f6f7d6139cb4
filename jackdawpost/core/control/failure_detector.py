"""Failure detector for upstreams, based on a majority of the proxies.

Proxies regularly report the reachability of each upstream. An upstream has
failed if most live proxies have reported it as refused, silent or stalled for
long enough.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.messages.control import Evidence


@dataclass(slots=True, kw_only=True)
class Observation:
    """Reachability of one upstream as reported by one proxy.

    Parameters
    ----------
    state : Evidence
        Last reported reachability.
    bad_since_ms : float
        Time since which the proxy has not reported ``'up'``.
    state_since_ms : float
        Time since which the proxy has reported `state`.
    """

    state: Evidence
    bad_since_ms: float
    state_since_ms: float


@dataclass(slots=True, kw_only=True)
class Reporter:
    """A proxy that reports the reachability of upstreams.

    Parameters
    ----------
    live_until_ms : float
        Time until which the proxy is considered live: its last report plus
        the lease duration. Its observations are ignored afterwards.
    observations : dict of str to Observation
        Observations of its last report by upstream.
    """

    live_until_ms: float
    observations: dict[str, Observation] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class FailureDetector:
    """Observations of all proxies and the timeouts that apply to them.

    Parameters
    ----------
    refused_ms : float
        Timeout for an upstream that is reported as refused.
    silent_ms : float
        Timeout for an upstream that is reported as silent or stalled, or as
        alternating between states other than ``'up'``.
    live_ms : float
        Time for which a proxy is considered live after a report.
    reporters : dict of str to Reporter
        Reporting proxies by name.
    primary_since_ms : dict of str to float
        Time since which an upstream has been the primary. Its timeouts start
        no earlier, whatever was observed before.
    """

    refused_ms: float
    silent_ms: float
    live_ms: float
    reporters: dict[str, Reporter] = field(default_factory=dict)
    primary_since_ms: dict[str, float] = field(default_factory=dict)


def record_evidence(
    detector: FailureDetector,
    now_ms: float,
    proxy: str,
    evidence: Mapping[str, Evidence],
) -> None:
    """Replace the observations of a proxy by those of a new report.

    A proxy has no observation of upstreams that its report does not contain.

    Parameters
    ----------
    evidence : mapping of str to Evidence
        Reported reachability of each upstream.
    """
    reporter = detector.reporters.get(proxy)
    if reporter is None or reporter.live_until_ms <= now_ms:
        reporter = Reporter(live_until_ms=now_ms)
        detector.reporters[proxy] = reporter
    reporter.live_until_ms = now_ms + detector.live_ms
    observations = {}
    for upstream, state in evidence.items():
        observations[upstream] = _next_observation(
            now_ms, reporter.observations.get(upstream), state
        )
    reporter.observations = observations


def _next_observation(
    now_ms: float, previous: Observation | None, state: Evidence
) -> Observation:
    if previous is None or previous.state == 'up' or state == 'up':
        return Observation(
            state=state, bad_since_ms=now_ms, state_since_ms=now_ms
        )
    since_ms = previous.state_since_ms if previous.state == state else now_ms
    return Observation(
        state=state,
        bad_since_ms=previous.bad_since_ms,
        state_since_ms=since_ms,
    )


def remove_proxy(detector: FailureDetector, proxy: str) -> None:
    """Remove the observations of a proxy that is no longer a member."""
    detector.reporters.pop(proxy, None)


def set_primary_since(
    detector: FailureDetector, upstream: str, since_ms: float
) -> None:
    """Set the earliest time at which the timeouts of a new primary start."""
    detector.primary_since_ms[upstream] = since_ms


def is_suspected(
    detector: FailureDetector, now_ms: float, upstream: str
) -> bool:
    """Return whether any live proxy reports an upstream as not 'up'."""
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
    """Return when a majority of the proxies sees `upstream` as failed.

    Parameters
    ----------
    electorate : int
        Minimum number of proxies over which the majority is counted. With
        more live proxies, it is counted over these.

    Returns
    -------
    float or None
        Time at which the timeouts of a majority expire: up to `now_ms` if
        the upstream has failed already, later if it will fail unless further
        reports change that. None if no majority reports it as other than
        ``'up'``.
    """
    live_reporters = [
        reporter
        for reporter in detector.reporters.values()
        if now_ms < reporter.live_until_ms
    ]
    primary_since_ms = detector.primary_since_ms.get(upstream, 0)
    vote_times_ms = sorted(
        due_ms
        for reporter in live_reporters
        if (
            due_ms := _vote_due_ms(
                detector, reporter, upstream, primary_since_ms
            )
        )
        is not None
    )
    majority = max(len(live_reporters), electorate) // 2 + 1
    if not live_reporters or len(vote_times_ms) < majority:
        return None
    return vote_times_ms[majority - 1]


def _vote_due_ms(
    detector: FailureDetector,
    reporter: Reporter,
    upstream: str,
    primary_since_ms: float,
) -> float | None:
    """Return when a proxy's observation reaches its timeout.

    None if the proxy reports the upstream as ``'up'`` or not at all.
    """
    observation = reporter.observations.get(upstream)
    if observation is None or observation.state == 'up':
        return None
    silent_due_ms = (
        max(observation.bad_since_ms, primary_since_ms) + detector.silent_ms
    )
    if observation.state != 'refused':
        return silent_due_ms
    refused_due_ms = (
        max(observation.state_since_ms, primary_since_ms) + detector.refused_ms
    )
    return min(refused_due_ms, silent_due_ms)


def is_refused(
    detector: FailureDetector, now_ms: float, upstream: str
) -> bool:
    """Return whether most live proxies report an upstream as refused."""
    live_reporters = [
        reporter
        for reporter in detector.reporters.values()
        if now_ms < reporter.live_until_ms
    ]
    vote_count = sum(
        1
        for reporter in live_reporters
        if upstream in reporter.observations
        and reporter.observations[upstream].state == 'refused'
    )
    return vote_count > len(live_reporters) // 2


def next_expiry_ms(detector: FailureDetector, now_ms: float) -> float | None:
    """Return when the next live proxy expires; None if there is none."""
    expiry_times_ms = [
        reporter.live_until_ms
        for reporter in detector.reporters.values()
        if now_ms < reporter.live_until_ms
    ]
    return min(expiry_times_ms, default=None)
