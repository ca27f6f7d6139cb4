"""The platform's calls to and from a control process."""

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
from jackdawpost.platform.http import call
from jackdawpost.platform.http import HttpError
from jackdawpost.platform.http import HttpRequest
from jackdawpost.platform.http import HttpResponse
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.runtime.timers import read_now_ms

CONFIG_PATH = '/config'
INSTANCES_PATH = '/instances/'
PROMOTE_PATH = '/promote'
# Callers move on to another process after a second.
REPLY_TIMEOUT_S = 5.0
# A promotion takes up to a second; the answer comes after it.
ORDER_TIMEOUT_S = 2.5


class ControlApi:
    """Turns HTTP requests into events and replies into responses.

    Parameters
    ----------
    address : str
        Address of this process's own API.
    port : int
        Port of the API of all control processes.
    platform : tuple of str and int, optional
        Address that takes orders of promotions.
    """

    def __init__(
        self, address: str, port: int, platform: tuple[str, int] | None
    ) -> None:
        self.shell: ReducerShell | None = None
        self._address = address
        self._port = port
        self._platform = platform
        self._numbers = itertools.count(1)
        self._waiting: dict[int, tuple[trio.Event, list[Reply]]] = {}

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of an operator or a database."""
        try:
            event = self._decode(request)
        except ProtocolError as exc:
            return _explain(HTTPStatus.BAD_REQUEST, [str(exc)])
        if event is None:
            text = f'{request.method} {request.path!r:.80} is not served'
            return _explain(HTTPStatus.NOT_FOUND, [text])
        reply = await self._ask(event)
        return self._encode(request, reply)

    def take_reply(self, effect: Reply) -> None:
        """Hand a reply to the request that waits for it."""
        waiting = self._waiting.pop(effect.request_id, None)
        if waiting is not None:
            waiting[1].append(effect)
            waiting[0].set()

    def order_promotion(self, effect: OrderPromotion) -> None:
        """Order a promotion; the answer comes as `PromotionEnded`."""
        assert self.shell is not None
        self.shell.spawn(self._order, effect)

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

    async def _ask(self, request: object) -> Reply | None:
        assert self.shell is not None
        number = next(self._numbers)
        done = trio.Event()
        replies: list[Reply] = []
        self._waiting[number] = (done, replies)
        self.shell.dispatch(
            RequestReceived(
                now_ms=read_now_ms(), request_id=number, request=request
            )
        )
        with trio.move_on_after(REPLY_TIMEOUT_S):
            await done.wait()
        self._waiting.pop(number, None)
        return replies[0] if replies else None

    def _encode(
        self, request: HttpRequest, reply: Reply | None
    ) -> HttpResponse:
        if reply is None or reply.outcome == 'unavailable':
            return _explain(
                HTTPStatus.SERVICE_UNAVAILABLE, ['no leader can answer now']
            )
        if reply.outcome == 'moved':
            place = f'http://{reply.leader}:{self._port}{request.path}'
            return HttpResponse(
                HTTPStatus.TEMPORARY_REDIRECT, headers=[('Location', place)]
            )
        if reply.outcome == 'invalid':
            return _explain(HTTPStatus.BAD_REQUEST, reply.faults)
        if request.path.startswith(INSTANCES_PATH):
            # Later reports come to the leader at once.
            body = json.dumps({'heartbeatEndpoint': self._address})
            return HttpResponse(HTTPStatus.OK, body.encode())
        return HttpResponse(HTTPStatus.OK, reply.document or b'{}')

    async def _order(self, effect: OrderPromotion) -> None:
        assert self.shell is not None
        outcome, detail = await self._call_promote(effect)
        self.shell.dispatch(
            PromotionEnded(
                now_ms=read_now_ms(),
                group=effect.group,
                token=effect.token,
                outcome=outcome,  # type: ignore[arg-type]
                detail=detail,
            )
        )

    async def _call_promote(self, effect: OrderPromotion) -> tuple[str, str]:
        if self._platform is None:
            return 'unknown', 'the settings name no address for orders'
        body = {'service': effect.group, 'id': effect.upstream}
        headers = [
            ('X-Lease-Holder', effect.holder),
            ('X-Fencing-Token', str(effect.token)),
        ]
        try:
            response = await call(
                self._platform,
                'POST',
                PROMOTE_PATH,
                headers,
                json.dumps(body).encode(),
                ORDER_TIMEOUT_S,
            )
        except HttpError as exc:
            return 'unknown', str(exc)
        detail = f'{response.status} {response.body[:200].decode("latin-1")}'
        if response.status == HTTPStatus.OK:
            return 'done', detail
        if response.status == HTTPStatus.CONFLICT:
            return 'refused', detail
        return 'unknown', detail


def _explain(status: int, faults: list[str]) -> HttpResponse:
    return HttpResponse(status, json.dumps({'errors': faults}).encode())
