"""Admin requests need a control certificate; replication uses TLS."""

from __future__ import annotations

import pytest
import trustme

from jackdawpost.core.messages.upstream import Follow
from jackdawpost.core.messages.upstream import Open
from jackdawpost.core.messages.upstream import Promote
from jackdawpost.settings.models import TlsSettings
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.link import open_link
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost.wire.tls import build_client_context
from jackdawpost_standin.tests.helpers import Client
from jackdawpost_standin.tests.helpers import HOST
from jackdawpost_standin.tests.helpers import start
from jackdawpost_standin.tests.helpers import wait_for


def _issue_certificate(authority, folder, name):
    cert = authority.issue_cert(HOST, common_name=name)
    paths = {
        'certificate': str(folder / f'{name}.pem'),
        'key': str(folder / f'{name}.key'),
        'authority': str(folder / 'authority.pem'),
    }
    cert.cert_chain_pems[0].write_to_path(paths['certificate'])
    cert.private_key_pem.write_to_path(paths['key'])
    authority.cert_pem.write_to_path(paths['authority'])
    return paths


async def _send_admin_request(standin, tls, message_type, **fields):
    context = build_client_context(TlsSettings(**tls))
    async with open_link(
        HOST, standin.port, '/v1/upstream', tls=context
    ) as stream:
        stream.post(encode_cbor([Open(peer='c-1', purpose='admin')]))
        client = Client(stream)
        await client.receive()
        return await client.request(message_type, **fields)


async def test_only_control_may_send_admin_requests_and_replication_uses_tls(
    nursery, tmp_path
):
    authority = trustme.CA()
    control = _issue_certificate(authority, tmp_path, 'control.c-1')
    proxy = _issue_certificate(authority, tmp_path, 'proxy.c-1')
    primary, replica = [
        await start(
            nursery,
            name,
            tls=_issue_certificate(authority, tmp_path, f'upstream.{name}'),
        )
        for name in ('db-1', 'db-2')
    ]
    with pytest.raises(LinkClosedError):
        await _send_admin_request(primary, proxy, Promote, term=1)
    assert not primary.database.role.leads
    assert (await _send_admin_request(primary, control, Promote, term=1)).ok
    primary_address = {'primary': 'db-1', 'host': HOST, 'port': primary.port}
    assert (
        await _send_admin_request(
            replica, control, Follow, term=1, **primary_address
        )
    ).ok
    await wait_for(lambda: replica.database.received == (1, 1))
