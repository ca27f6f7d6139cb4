"""HTTP of `jackdawpost.wire.http` under its earlier name.

Test cases that must not be changed import it from here.
"""

from __future__ import annotations

from jackdawpost.wire.http import HttpError
from jackdawpost.wire.http import HttpRequest
from jackdawpost.wire.http import HttpResponse
from jackdawpost.wire.http import send_request
from jackdawpost.wire.http import serve_http

__all__ = [
    'HttpError',
    'HttpRequest',
    'HttpResponse',
    'send_request',
    'serve_http',
]
