"""Admin connections from the control leader to upstreams.

The leader sends seal, promote and follow requests on them. `update_requests`
compares the pending requests with those that a group needs now and opens
connections, sends requests and retries as necessary.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

from jackdawpost.core.control.promotion import AdminRequest
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Connect
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import Send
from jackdawpost.core.messages.upstream import Follow
from jackdawpost.core.messages.upstream import Promote
from jackdawpost.core.messages.upstream import Seal

CONNECT_TIMEOUT_MS = 500
ANSWER_TIMEOUT_MS = 400.0
RETRY_DELAY_MS = 100.0


@dataclass(slots=True, kw_only=True)
class AdminLink:
    """Admin connection to one upstream and its pending request.

    Parameters
    ----------
    request : AdminRequest
        Request that was sent last or is to be sent.
    conn : int, optional
        Connection that is open or being opened.
    is_open : bool
        The connection has been established.
    request_id : int, optional
        Id of the request in flight.
    answer_due_ms : float
        Time at which the request in flight times out.
    retry_at_ms : float
        Earliest time of the next attempt.
    """

    request: AdminRequest
    conn: int | None = None
    is_open: bool = False
    request_id: int | None = None
    answer_due_ms: float = 0.0
    retry_at_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class AdminLinks:
    """Admin connections to all upstreams with a pending request.

    Parameters
    ----------
    next_conn : int
        Id of the next connection; ids are negative and decrease.
    next_request : int
        Id of the next request.
    links : dict of str to AdminLink
        Links by upstream.
    conns : dict of int to str
        Upstream of each connection that is open or being opened.
    """

    next_conn: int
    next_request: int = 1
    links: dict[str, AdminLink] = field(default_factory=dict)
    conns: dict[int, str] = field(default_factory=dict)


def update_requests(
    admin: AdminLinks,
    now_ms: float,
    group: str,
    requests: Mapping[str, AdminRequest],
) -> list[Effect]:
    """Send, retry or drop requests to match those that a group needs now.

    Parameters
    ----------
    group : str
        Group of `requests`. The requests of other groups are not changed.
    requests : mapping of str to AdminRequest
        Request that is now pending for each upstream of the group.
    """
    effects: list[Effect] = []
    names = {
        n for n, item in admin.links.items() if item.request.group == group
    }
    for name in sorted(names | set(requests)):
        request = requests.get(name)
        link = admin.links.get(name)
        if link is not None and (
            request is None or _address_changed(link, request)
        ):
            effects += _drop_link(admin, name)
            link = None
        if request is None:
            continue
        if link is None:
            link = AdminLink(request=request)
            admin.links[name] = link
        effects += _advance_link(admin, now_ms, link, request)
    return effects


def _address_changed(link: AdminLink, request: AdminRequest) -> bool:
    return (link.request.host, link.request.port) != (
        request.host,
        request.port,
    )


def _drop_link(admin: AdminLinks, name: str) -> list[Effect]:
    link = admin.links.pop(name)
    if link.conn is None:
        return []
    admin.conns.pop(link.conn, None)
    return [Close(conn=link.conn, reason='done')]


def _advance_link(
    admin: AdminLinks, now_ms: float, link: AdminLink, request: AdminRequest
) -> list[Effect]:
    if link.request_id is not None and now_ms >= link.answer_due_ms:
        effects = _abort_link(admin, now_ms, link)
        return effects + _advance_link(admin, now_ms, link, request)
    if link.conn is None:
        link.request = request
        if now_ms < link.retry_at_ms:
            return []
        return [_open_connection(admin, link)]
    if not link.is_open or (link.request_id and link.request == request):
        return []
    if now_ms < link.retry_at_ms and link.request == request:
        return []
    link.request = request
    link.request_id = admin.next_request
    link.answer_due_ms = now_ms + ANSWER_TIMEOUT_MS
    admin.next_request += 1
    return [
        Send(
            conn=link.conn, messages=[_build_message(link.request_id, request)]
        )
    ]


def _abort_link(
    admin: AdminLinks, now_ms: float, link: AdminLink
) -> list[Effect]:
    assert link.conn is not None
    admin.conns.pop(link.conn, None)
    effect = Close(conn=link.conn, reason='no answer', abort=True)
    _schedule_reconnect(link, now_ms)
    return [effect]


def _schedule_reconnect(link: AdminLink, now_ms: float) -> None:
    link.conn = None
    link.is_open = False
    link.request_id = None
    link.retry_at_ms = now_ms + RETRY_DELAY_MS


def _open_connection(admin: AdminLinks, link: AdminLink) -> Connect:
    link.conn = admin.next_conn
    admin.next_conn -= 1
    admin.conns[link.conn] = link.request.upstream
    return Connect(
        conn=link.conn,
        peer=link.request.upstream,
        host=link.request.host,
        port=link.request.port,
        purpose='admin',
        timeout_ms=CONNECT_TIMEOUT_MS,
    )


def _build_message(
    request_id: int, request: AdminRequest
) -> Seal | Promote | Follow:
    if request.action == 'seal':
        return Seal(id=request_id, term=request.term)
    if request.action == 'promote':
        return Promote(id=request_id, term=request.term)
    return Follow(
        id=request_id,
        term=request.term,
        primary=request.primary,
        host=request.primary_host,
        port=request.primary_port,
    )


def on_opened(admin: AdminLinks, conn: int) -> bool:
    """Handle an established connection; False if it is no admin connection."""
    name = admin.conns.get(conn)
    if name is None:
        return False
    admin.links[name].is_open = True
    return True


def on_closed(
    admin: AdminLinks,
    now_ms: float,
    conn: int,
    reason: Literal['closed', 'refused', 'timeout', 'malformed'],
) -> AdminRequest | None:
    """Handle the end of a connection and schedule another attempt.

    Returns
    -------
    AdminRequest or None
        Pending request of the upstream if it refused the connection.
    """
    name = admin.conns.pop(conn, None)
    if name is None:
        return None
    link = admin.links[name]
    _schedule_reconnect(link, now_ms)
    return link.request if reason == 'refused' else None


def on_answer(
    admin: AdminLinks, now_ms: float, conn: int, request_id: int
) -> AdminRequest | None:
    """Return the request of an answer; None if the answer is outdated."""
    name = admin.conns.get(conn)
    if name is None:
        return None
    link = admin.links[name]
    if link.request_id != request_id:
        return None
    link.request_id = None
    link.retry_at_ms = now_ms + RETRY_DELAY_MS
    return link.request


def _link_due_ms(link: AdminLink) -> float | None:
    """Return when a request is to be retried or times out.

    None while the connection is being opened, which ends with an event.
    """
    if link.request_id is not None:
        return link.answer_due_ms
    if link.conn is None or link.is_open:
        return link.retry_at_ms
    return None


def next_admin_due_ms(admin: AdminLinks, now_ms: float) -> float | None:
    """Return the next time at which a request is retried or times out."""
    due_times_ms = [_link_due_ms(link) for link in admin.links.values()]
    upcoming = [
        due for due in due_times_ms if due is not None and due > now_ms
    ]
    return min(upcoming, default=None)


def groups_with_due_requests(admin: AdminLinks, now_ms: float) -> set[str]:
    """Return the groups with a request to retry or to time out now."""
    found = set()
    for link in admin.links.values():
        due_ms = _link_due_ms(link)
        if due_ms is not None and due_ms <= now_ms:
            found.add(link.request.group)
    return found


def close_connections(admin: AdminLinks) -> list[Effect]:
    """Close all connections because the process is no longer the leader."""
    effects: list[Effect] = [
        Close(conn=conn, reason='process no longer leads')
        for conn in admin.conns
    ]
    admin.conns.clear()
    admin.links.clear()
    return effects
