"""Requests of the control leader that proxies forward to upstreams.

Control processes have no connections to the databases.
"""

from __future__ import annotations

from typing import Literal

from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import ForwardedRequests
from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.outbox import send

# Interval between rounds of requests. Each request goes through the next
# proxy.
REQUEST_INTERVAL_MS = 200.0


def needs_replica_copies(state: ControlState, group: str) -> bool:
    """Return whether each commit of a group needs a copy on a replica."""
    settings = state.machine.objects.groups.get(group)
    return settings is not None and settings.write_copies > 1


def send_action(
    state: ControlState,
    requests: ForwardedRequests,
    upstream: str,
    action: Literal['pause', 'resume', 'status', 'demote'],
) -> None:
    """Send a request to an upstream through the next proxy."""
    links = [state.links[conn] for conn in sorted(state.proxies.values())]
    served = [link for link in links if link.is_served]
    if not served:
        return
    requests.attempts += 1
    link = served[requests.attempts % len(served)]
    message = UpstreamAction(
        upstream=upstream,
        action=action,
        term=requests.term,
        token=requests.token,
    )
    send(state, link.conn, message)
