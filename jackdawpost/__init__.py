"""Database proxy with session consistency, and its coordination libraries.

The names in ``__all__`` are the public interface for embedding;
``docs/embedding.md`` shows how to use them. They are imported on first use
because a daemon must not import the client.
"""

from __future__ import annotations

import importlib
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawpost.client import build_caller_context as build_caller_context
    from jackdawpost.client import new_request_key as new_request_key
    from jackdawpost.client import open_session as open_session
    from jackdawpost.client import ProxyAddress as ProxyAddress
    from jackdawpost.client import Result as Result
    from jackdawpost.client import Session as Session
    from jackdawpost.client import Transaction as Transaction
    from jackdawpost.core.consensus import process as consensus
    from jackdawpost.core.leases import ledger as lease_ledger
    from jackdawpost.core.leases.holder import LeaseHolder as LeaseHolder
    from jackdawpost.core.objects.checks import Candidate as Candidate
    from jackdawpost.core.objects.checks import check_objects as check_objects
    from jackdawpost.core.objects.model import ObjectSet as ObjectSet
    from jackdawpost.core.objects.model import parse_object as parse_object
    from jackdawpost.core.positions import LogPosition as LogPosition
    from jackdawpost.core.proxy import replica_choice as replica_choice
    from jackdawpost.core.tokens import decode_token as decode_token
    from jackdawpost.core.tokens import encode_token as encode_token
    from jackdawpost.core.tokens import merge_position as merge_position
    from jackdawpost.core.tokens import SessionToken as SessionToken
    from jackdawpost.errors import JackdawpostError as JackdawpostError
    from jackdawpost.testing.history import check_history as check_history
    from jackdawpost.testing.history import History as History
    from jackdawpost.version import __version__ as __version__

    LeaseLedger = lease_ledger.LeaseLedger

_MODULES = {
    'build_caller_context': 'jackdawpost.client',
    'new_request_key': 'jackdawpost.client',
    'open_session': 'jackdawpost.client',
    'ProxyAddress': 'jackdawpost.client',
    'Result': 'jackdawpost.client',
    'Session': 'jackdawpost.client',
    'Transaction': 'jackdawpost.client',
    'JackdawpostError': 'jackdawpost.errors',
    'LeaseHolder': 'jackdawpost.core.leases.holder',
    'LeaseLedger': 'jackdawpost.core.leases.ledger',
    'Candidate': 'jackdawpost.core.objects.checks',
    'check_objects': 'jackdawpost.core.objects.checks',
    'ObjectSet': 'jackdawpost.core.objects.model',
    'parse_object': 'jackdawpost.core.objects.model',
    'LogPosition': 'jackdawpost.core.positions',
    'decode_token': 'jackdawpost.core.tokens',
    'encode_token': 'jackdawpost.core.tokens',
    'merge_position': 'jackdawpost.core.tokens',
    'SessionToken': 'jackdawpost.core.tokens',
    'check_history': 'jackdawpost.testing.history',
    'History': 'jackdawpost.testing.history',
    '__version__': 'jackdawpost.version',
}
# Public names that are modules themselves.
_SUBMODULES = {
    'consensus': 'jackdawpost.core.consensus.process',
    'lease_ledger': 'jackdawpost.core.leases.ledger',
    'replica_choice': 'jackdawpost.core.proxy.replica_choice',
}


def __getattr__(name: str) -> Any:
    if name in _SUBMODULES:
        return importlib.import_module(_SUBMODULES[name])
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(importlib.import_module(module), name)


__all__ = [
    'Candidate',
    'History',
    'JackdawpostError',
    'LeaseHolder',
    'LeaseLedger',
    'LogPosition',
    'ObjectSet',
    'ProxyAddress',
    'Result',
    'Session',
    'SessionToken',
    'Transaction',
    '__version__',
    'build_caller_context',
    'check_history',
    'check_objects',
    'consensus',
    'decode_token',
    'encode_token',
    'lease_ledger',
    'merge_position',
    'new_request_key',
    'open_session',
    'parse_object',
    'replica_choice',
]
