"""Simulated control processes whose platform carries out promotions."""

from __future__ import annotations

from jackdawpost.core.control.commands import DeclareObject
from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.effects import Reply
from jackdawpost.core.events import PromotionEnded
from jackdawpost.core.events import RequestReceived
from jackdawpost.core.messages.control import UpstreamReport
from jackdawpost.core.messages.registry import DeclareConfig
from jackdawpost.core.messages.registry import Registration
from jackdawpost.core.positions import LogPosition
from jackdawpost.tests.core.control.fakes import FakeProxy
from jackdawpost.tests.core.control.fakes import SimulatedCluster

STARTED_MS = 1_700_000_000_000


def declare(version, name='r-1', group='g', copies=1):
    objects = [
        DeclareObject(
            type='group',
            name='g',
            body={'databases': copies, 'write_copies': copies},
        ),
        DeclareObject(
            type='endpoint',
            name=name,
            body={'database': name, 'group': group, 'timeout_ms': 1_000},
        ),
    ]
    document = f'{version} {name} {group}'.encode()
    return DeclareConfig(version=version, document=document, objects=objects)


def registration(name, **fields):
    number = int(name[1:])
    values = {
        'name': name,
        'group': 'g',
        'host': f'10.0.1.{number}',
        'port': 5432,
        'data_centre': 'dc',
        'slots': 3,
        'state': 'ready',
        'started_ms': STARTED_MS,
        'sequence': 1,
        'leads': name == 'u1',
    }
    return Registration(**{**values, **fields})


class DelegatedSimulation:
    """Simulated control processes at which upstreams register."""

    def __init__(self, controls=3, proxies=3, copies=1, **cfg_fields):
        self.cluster = SimulatedCluster(
            [f'c{n}' for n in range(1, controls + 1)],
            delegated=True,
            holder='holder',
            member_expiry_ms=2_500,
            **cfg_fields,
        )
        self.request_count = 0
        assert self.cluster.run(
            3_000, lambda: self.cluster.leader() is not None
        )
        self.proxies = [
            self.cluster.add(FakeProxy(f'p{n}')) for n in range(1, proxies + 1)
        ]
        for proxy in self.proxies:
            proxy.demotes_primaries = copies > 1
        self.cluster.run(500)
        assert self.send_request(declare(1, copies=copies)).outcome == 'done'
        for name in ('u1', 'u2', 'u3'):
            assert self.send_request(registration(name)).outcome == 'done'
        self.set_observations('u1')
        self.cluster.run(1_000)

    @property
    def machine(self):
        return self.cluster.leader().machine

    def set_observations(self, leader, **received):
        """Set the leading upstream and the positions that proxies report."""
        for proxy in self.proxies:
            proxy.upstream_reports = {
                name: UpstreamReport(
                    leads=name == leader,
                    term=1,
                    received=LogPosition(1, received.get(name, 10)),
                )
                for name in ('u1', 'u2', 'u3')
            }

    def report_evidence(self, upstream, evidence='silent', by=None):
        """Let all proxies, or the first `by`, report an upstream as failed."""
        for proxy in self.proxies if by is None else self.proxies[:by]:
            proxy.evidence = {'u2': 'up', 'u3': 'up', upstream: evidence}

    def send_request(self, request, at=None, for_ms=500):
        """Send a request and return its reply."""
        self.request_count += 1
        request_id = self.request_count
        name = at or self.cluster.leader().cfg.name
        self.cluster.feed(
            name,
            RequestReceived(
                now_ms=self.cluster.now_ms,
                request_id=request_id,
                request=request,
            ),
        )
        self.cluster.run(for_ms, lambda: self.reply(request_id) is not None)
        return self.reply(request_id)

    def reply(self, request_id):
        replies = [
            effect
            for _, _, effect in self.cluster.effects
            if isinstance(effect, Reply) and effect.request_id == request_id
        ]
        return replies[0] if replies else None

    def orders(self):
        return [
            effect
            for _, _, effect in self.cluster.effects
            if isinstance(effect, OrderPromotion)
        ]

    def answer_order(self, order, outcome):
        ended = PromotionEnded(
            now_ms=self.cluster.now_ms,
            group=order.group,
            token=order.token,
            outcome=outcome,
        )
        self.cluster.feed(self.cluster.leader().cfg.name, ended)

    def follower(self):
        leader = self.cluster.leader().cfg.name
        return next(n for n in self.cluster.controls if n != leader)
