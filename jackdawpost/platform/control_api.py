"""HTTP API of a control process, and its promotion requests to the platform.

Operators read and write the configuration at ``/config``. Databases report
their state at ``/instances/NAME``. The control process itself sends a request
to the platform to promote a database.
"""

from __future__ import annotations

import itertools
import json
from http import HTTPStatus
from urllib.parse import unquote

import trio

from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.effects import Reply
from jackdawpost.core.events import PromotionEnded
from jackdawpost.core.events import RequestReceived
from jackdawpost.core.messages.registry import Departure
from jackdawpost.core.messages.registry import ReadConfig
from jackdawpost.errors import ProtocolError
from jackdawpost.platform.documents import decode_config
from jackdawpost.platform.documents import decode_departure
from jackdawpost.platform.documents import decode_instance
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.runtime.timers import read_now_ms
from jackdawpost.wire.http import HttpError
from jackdawpost.wire.http import HttpRequest
from jackdawpost.wire.http import HttpResponse
from jackdawpost.wire.http import send_request

CONFIG_PATH = '/config'
INSTANCES_PATH = '/instances/'
PROMOTE_PATH = '/promote'
# Clients try another control process after 1 s, well before this timeout.
REPLY_TIMEOUT_S = 5.0
# The platform answers after the promotion, which takes up to a second.
PROMOTION_TIMEOUT_S = 2.5


class ControlApi:
    """Converts HTTP requests into events, and replies into HTTP responses.

    Parameters
    ----------
    address : str
        Address of the API of this process, as IP:PORT.
    port : int
        Port of the API, the same at every control process.
    promotion_address : tuple of str and int, optional
        Host and port at which the platform accepts promotion requests.
    """

    def __init__(
        self,
        address: str,
        port: int,
        promotion_address: tuple[str, int] | None,
    ) -> None:
        self.shell: ReducerShell | None = None
        self._address = address
        self._port = port
        self._promotion_address = promotion_address
        self._request_ids = itertools.count(1)
        self._pending: dict[int, tuple[trio.Event, list[Reply]]] = {}

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of an operator or a database."""
        try:
            decoded_request = self._decode(request)
        except ProtocolError as exc:
            return _error_response(HTTPStatus.BAD_REQUEST, [str(exc)])
        if decoded_request is None:
            text = (
                f'{request.method} {request.path!r:.80} is not served, '
                'expected GET or PUT of /config, or PUT or DELETE of '
                '/instances/NAME'
            )
            return _error_response(HTTPStatus.NOT_FOUND, [text])
        reply = await self._dispatch(decoded_request)
        return self._encode(request, reply)

    def handle_reply(self, effect: Reply) -> None:
        """Pass a reply to the HTTP request that waits for it.

        A reply to a request that has timed out is dropped.
        """
        pending = self._pending.pop(effect.request_id, None)
        if pending is not None:
            pending[1].append(effect)
            pending[0].set()

    def order_promotion(self, effect: OrderPromotion) -> None:
        """Request a promotion; `PromotionEnded` reports the result."""
        assert self.shell is not None
        self.shell.spawn(self._execute_order, effect)

    def _decode(self, request: HttpRequest) -> object | None:
        path = request.path.partition('?')[0]
        if path == CONFIG_PATH and request.method == 'PUT':
            return decode_config(request.body)
        if path == CONFIG_PATH and request.method == 'GET':
            return ReadConfig()
        if not path.startswith(INSTANCES_PATH):
            return None
        name = unquote(path.removeprefix(INSTANCES_PATH))
        if request.method == 'PUT' and name:
            return decode_instance(name, request.body)
        if request.method == 'DELETE' and name:
            started_ms = decode_departure(request.body)
            return Departure(name=name, started_ms=started_ms)
        return None

    async def _dispatch(self, request: object) -> Reply | None:
        assert self.shell is not None
        request_id = next(self._request_ids)
        replied = trio.Event()
        replies: list[Reply] = []
        self._pending[request_id] = (replied, replies)
        self.shell.dispatch(
            RequestReceived(
                now_ms=read_now_ms(), request_id=request_id, request=request
            )
        )
        with trio.move_on_after(REPLY_TIMEOUT_S):
            await replied.wait()
        self._pending.pop(request_id, None)
        return replies[0] if replies else None

    def _encode(
        self, request: HttpRequest, reply: Reply | None
    ) -> HttpResponse:
        if reply is None or reply.outcome == 'unavailable':
            return _error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                ['no leader is available at present'],
            )
        if reply.outcome == 'moved':
            location = f'http://{reply.leader}:{self._port}{request.path}'
            return HttpResponse(
                HTTPStatus.TEMPORARY_REDIRECT, headers=[('Location', location)]
            )
        if reply.outcome == 'invalid':
            return _error_response(HTTPStatus.BAD_REQUEST, reply.faults)
        if request.path.startswith(INSTANCES_PATH):
            # The database sends its later reports directly to the leader.
            body = json.dumps({'heartbeatEndpoint': self._address})
            return HttpResponse(HTTPStatus.OK, body.encode())
        return HttpResponse(HTTPStatus.OK, reply.document or b'{}')

    async def _execute_order(self, effect: OrderPromotion) -> None:
        assert self.shell is not None
        outcome, detail = await self._request_promotion(effect)
        self.shell.dispatch(
            PromotionEnded(
                now_ms=read_now_ms(),
                group=effect.group,
                token=effect.token,
                outcome=outcome,  # type: ignore[arg-type]
                detail=detail,
            )
        )

    async def _request_promotion(
        self, effect: OrderPromotion
    ) -> tuple[str, str]:
        if self._promotion_address is None:
            return 'unknown', 'cloudApi.address is missing in the settings'
        body = {'service': effect.group, 'id': effect.upstream}
        headers = [
            ('X-Lease-Holder', effect.holder),
            ('X-Fencing-Token', str(effect.token)),
        ]
        try:
            response = await send_request(
                self._promotion_address,
                'POST',
                PROMOTE_PATH,
                headers,
                json.dumps(body).encode(),
                PROMOTION_TIMEOUT_S,
            )
        except HttpError as exc:
            return 'unknown', str(exc)
        detail = f'{response.status} {response.body[:200].decode("latin-1")}'
        if response.status == HTTPStatus.OK:
            return 'done', detail
        if response.status == HTTPStatus.CONFLICT:
            return 'refused', detail
        return 'unknown', detail


def _error_response(status: int, faults: list[str]) -> HttpResponse:
    return HttpResponse(status, json.dumps({'errors': faults}).encode())
