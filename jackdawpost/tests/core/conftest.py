"""Fixtures shared by the tests of the core."""

from __future__ import annotations

import pytest

from jackdawpost.testing.fake_proxy_world import ProxyWorld


@pytest.fixture
def world() -> ProxyWorld:
    """Return a proxy that has joined and serves one group."""
    started = ProxyWorld()
    started.start()
    return started
