"""Bytes that a session makes a pooler hold: its requests and its values."""

from __future__ import annotations

from jackdawpost.core.effects import Hold
from jackdawpost.core.messages.session import Request
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import Session

# A request holds its text and its argument, which is a part of the text.
TEXT_COPIES = 2
# Sessions with less text are not reported: small requests cost nothing.
MIN_REPORTED_BYTES = 2_048
# All values and prepared statements of a session. One message of 1 MiB fits.
MAX_VALUE_BYTES = 2 << 20


def add_value_bytes(session: Session, req: Request) -> bool:
    """Count the value that a request sets, or return False above the limit."""
    if req.verb == 'set':
        old = session.values.get(req.name)
    else:
        old = session.prepared.get(req.name)
    size = session.value_bytes
    if old is not None:
        size -= len(req.name) + len(old)
    if req.verb != 'deallocate':
        size += len(req.name) + len(req.argument)
    if size > MAX_VALUE_BYTES and size > session.value_bytes:
        return False
    session.value_bytes = size
    return True


def report_holdings(state: PoolerState, session: Session) -> None:
    """Tell what a session holds, if it is much or was at the last time."""
    text_bytes = session.backlog_bytes + session.running_bytes
    size = TEXT_COPIES * text_bytes + session.value_bytes
    if text_bytes + session.value_bytes < MIN_REPORTED_BYTES:
        size = 0
    if size != session.reported_bytes:
        session.reported_bytes = size
        state.outbox.append(Hold(conn=session.conn, size_bytes=size))
