"""Refill rate and depth of a tenant's token bucket.

In any window, the operations of a tenant may exceed its rate by an allowance:
its burst, a share of overage and a fixed slack. The bucket uses
`BUCKET_SHARE` of this allowance. The rest covers the tokens that poolers
without control accumulate on their own.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

MS_PER_SECOND = 1_000.0
BUCKET_SHARE = 0.8
MIN_DEPTH = 1.0
# Tokens of a pooler count at the leader until this time after its last report.
TOKEN_VALIDITY_MS = 5_000.0
# Largest difference in clock rate between two machines, as a fraction.
CLOCK_MARGIN = 0.02
# A pooler without an answer of a leader for this time admits operations on
# its own.
FALLBACK_AFTER_MS = 1_000.0


class HasRate(Protocol):
    """Tenant with its limits, in the configuration or published."""

    rate_per_s: float | None
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RateSettings:
    """Settings that all limits share.

    Parameters
    ----------
    window_ms : float
        Length of the sliding window in which operations are counted.
    overage : float
        Share by which rate and burst together may be exceeded in a window.
    slack : float
        Operations by which they may be exceeded besides.
    """

    window_ms: float
    overage: float
    slack: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimit:
    """Token bucket of one tenant.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    depth : float
        Most tokens in existence: in the bucket, held by poolers, and on the
        way to them.
    fallback_reserve : float
        Most tokens that poolers without control accumulate together.
    """

    rate_per_s: float
    depth: float
    fallback_reserve: float


def derive_limit(
    rate_per_s: float, burst: float, settings: RateSettings
) -> RateLimit:
    """Return the token bucket for a rate and burst.

    The bucket is refilled at the rate with its overage. Poolers that run out
    of tokens while others hold some would otherwise use less than the rate.
    """
    refill_per_s = rate_per_s * (1 + settings.overage)
    allowance = burst * (1 + settings.overage) + settings.slack
    return RateLimit(
        rate_per_s=refill_per_s,
        depth=max(MIN_DEPTH, allowance * BUCKET_SHARE),
        fallback_reserve=allowance * (1 - BUCKET_SHARE),
    )


def derive_limits(
    tenants: Mapping[str, HasRate], settings: RateSettings
) -> dict[str, RateLimit]:
    """Return the token bucket of each tenant that has a rate."""
    return {
        name: derive_limit(view.rate_per_s, view.burst, settings)
        for name, view in tenants.items()
        if view.rate_per_s is not None
    }
