"""Tests of fault scenarios on a small deployment of real processes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bench.deployments import HANDFANG
from bench.experiment_faults import SCENARIOS
from bench.fault_run import run_fault

SMALL_DEPLOYMENT = replace(
    HANDFANG, proxies=2, control=1, groups=('orders', 'stock')
)


@pytest.mark.process
def test_stopped_proxy_completes_requests_in_flight() -> None:
    # Guards against a draining proxy that loses its leases and therefore the
    # answers to writes and open transactions.
    scenario = replace(SCENARIOS['proxy-stopped'], load_s=4.0)
    results = run_fault(SMALL_DEPLOYMENT, scenario)
    assert results['violations'] == []
    assert results['transaction'] == ['done']
    assert results['stopped']['proxy-1']['exit_code'] == 0
    assert not [w for w in results['failed_writes'] if 'lease_lost' in w]
