"""Fixtures shared by the tests of the core."""

from __future__ import annotations

import pytest

from jackdawpost.testing.proxy_simulation import ProxySimulation


@pytest.fixture
def sim() -> ProxySimulation:
    """Return a proxy that has joined and serves one group."""
    simulation = ProxySimulation()
    simulation.start()
    return simulation
