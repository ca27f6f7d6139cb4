"""Client library that callers embed to use a proxy."""

from __future__ import annotations

from jackdawpost.client.link import ProxyAddress
from jackdawpost.client.session import new_request_key
from jackdawpost.client.session import open_session
from jackdawpost.client.session import Result
from jackdawpost.client.session import Session
from jackdawpost.client.session import Transaction
from jackdawpost.wire.tls import build_caller_context

__all__ = [
    'ProxyAddress',
    'Result',
    'Session',
    'Transaction',
    'build_caller_context',
    'new_request_key',
    'open_session',
]
