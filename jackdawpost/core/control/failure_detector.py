"""Failure detector for upstreams, based on a majority of the proxies.

Proxies regularly report the reachability of each upstream. An upstream has
failed if most live proxies have reported it as refused, silent or stalled for
long enough.
"""

from __future__ import annotations

from collections.abc import Iterable
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
        Latest observations by upstream.
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
    suspecting : dict of str to set of str
        Proxies, live or not, whose observation of an upstream is other than
        ``'up'``; an index of `reporters`, without the upstreams that all
        proxies see as up.
    primary_since_ms : dict of str to float
        Time since which an upstream has been the primary. Its timeouts start
        no earlier, whatever was observed before.
    """

    refused_ms: float
    silent_ms: float
    live_ms: float
    reporters: dict[str, Reporter] = field(default_factory=dict)
    suspecting: dict[str, set[str]] = field(default_factory=dict)
    primary_since_ms: dict[str, float] = field(default_factory=dict)


def record_evidence(
    detector: FailureDetector,
    now_ms: float,
    proxy: str,
    evidence: Mapping[str, Evidence],
) -> None:
    """Replace the observations of a proxy by those of a full report.

    A proxy has no observation of upstreams that its report does not contain.

    Parameters
    ----------
    evidence : mapping of str to Evidence
        Reported reachability of each upstream.
    """
    reporter = detector.reporters.get(proxy)
    if reporter is None or reporter.live_until_ms <= now_ms:
        _forget(detector, proxy)
        reporter = Reporter(live_until_ms=now_ms)
        detector.reporters[proxy] = reporter
    gone = [name for name in reporter.observations if name not in evidence]
    record_changes(detector, now_ms, proxy, evidence, gone)


def record_changes(
    detector: FailureDetector,
    now_ms: float,
    proxy: str,
    evidence: Mapping[str, Evidence],
    gone: Iterable[str] = (),
) -> None:
    """Update some observations of a live proxy and confirm its others.

    Parameters
    ----------
    evidence : mapping of str to Evidence
        Reachability of the upstreams for which it was reported again.
    gone : iterable of str
        Upstreams that the proxy no longer observes.
    """
    reporter = detector.reporters[proxy]
    reporter.live_until_ms = now_ms + detector.live_ms
    for upstream in gone:
        if reporter.observations.pop(upstream, None) is not None:
            _index(detector, proxy, upstream, 'up')
    for upstream, state in evidence.items():
        reporter.observations[upstream] = _next_observation(
            now_ms, reporter.observations.get(upstream), state
        )
        _index(detector, proxy, upstream, state)


def is_live(detector: FailureDetector, now_ms: float, proxy: str) -> bool:
    """Return whether a proxy has reported recently."""
    reporter = detector.reporters.get(proxy)
    return reporter is not None and now_ms < reporter.live_until_ms


def _index(
    detector: FailureDetector, proxy: str, upstream: str, state: Evidence
) -> None:
    if state != 'up':
        detector.suspecting.setdefault(upstream, set()).add(proxy)
        return
    suspecting = detector.suspecting.get(upstream)
    if suspecting is not None:
        suspecting.discard(proxy)
        if not suspecting:
            del detector.suspecting[upstream]


def _forget(detector: FailureDetector, proxy: str) -> None:
    reporter = detector.reporters.pop(proxy, None)
    if reporter is not None:
        for upstream in reporter.observations:
            _index(detector, proxy, upstream, 'up')


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
    _forget(detector, proxy)


def set_primary_since(
    detector: FailureDetector, upstream: str, since_ms: float
) -> None:
    """Set the earliest time at which the timeouts of a new primary start."""
    detector.primary_since_ms[upstream] = since_ms


def is_suspected(
    detector: FailureDetector, now_ms: float, upstream: str
) -> bool:
    """Return whether any live proxy reports an upstream as not 'up'."""
    return any(
        is_live(detector, now_ms, proxy)
        for proxy in detector.suspecting.get(upstream, ())
    )


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
    suspecting = detector.suspecting.get(upstream, ())
    if not suspecting or len(suspecting) <= electorate // 2:
        return None
    primary_since_ms = detector.primary_since_ms.get(upstream, 0)
    vote_times_ms = sorted(
        due_ms
        for proxy in suspecting
        if is_live(detector, now_ms, proxy)
        and (
            due_ms := _vote_due_ms(
                detector,
                detector.reporters[proxy],
                upstream,
                primary_since_ms,
            )
        )
        is not None
    )
    majority = max(_count_live(detector, now_ms), electorate) // 2 + 1
    if len(vote_times_ms) < majority:
        return None
    return vote_times_ms[majority - 1]


def _count_live(detector: FailureDetector, now_ms: float) -> int:
    return sum(
        now_ms < reporter.live_until_ms
        for reporter in detector.reporters.values()
    )


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
    """Return whether most proxies that watch an upstream see it refuse."""
    return _most_watchers_see(detector, now_ms, upstream, ('refused',))


def is_refused_by_any(
    detector: FailureDetector, now_ms: float, upstream: str
) -> bool:
    """Return whether any live proxy sees an upstream refuse connections."""
    return any(
        is_live(detector, now_ms, proxy)
        and detector.reporters[proxy].observations[upstream].state == 'refused'
        for proxy in detector.suspecting.get(upstream, ())
    )


def is_doubted(
    detector: FailureDetector, now_ms: float, upstream: str
) -> bool:
    """Return whether most proxies that watch an upstream see it not up."""
    return _most_watchers_see(
        detector, now_ms, upstream, ('refused', 'silent', 'stalled')
    )


def _most_watchers_see(
    detector: FailureDetector,
    now_ms: float,
    upstream: str,
    states: tuple[Evidence, ...],
) -> bool:
    suspecting = detector.suspecting.get(upstream, ())
    vote_count = sum(
        is_live(detector, now_ms, proxy)
        and detector.reporters[proxy].observations[upstream].state in states
        for proxy in suspecting
    )
    if not vote_count:
        return False
    watchers = sum(
        now_ms < reporter.live_until_ms and upstream in reporter.observations
        for reporter in detector.reporters.values()
    )
    return vote_count > watchers // 2


def next_expiry_ms(detector: FailureDetector, now_ms: float) -> float | None:
    """Return when the next live proxy expires; None if there is none."""
    expiry_times_ms = [
        reporter.live_until_ms
        for reporter in detector.reporters.values()
        if now_ms < reporter.live_until_ms
    ]
    return min(expiry_times_ms, default=None)
