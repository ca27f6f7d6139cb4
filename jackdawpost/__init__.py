"""Database proxy with session consistency, and its coordination parts.

The names below are the public interface for embedding; ``docs/embedding.md``
shows them in use.
"""

from __future__ import annotations

from jackdawpost.client import build_caller_context
from jackdawpost.client import new_request_key
from jackdawpost.client import open_session
from jackdawpost.client import ProxyAddress
from jackdawpost.client import Result
from jackdawpost.client import Session
from jackdawpost.client import Transaction
from jackdawpost.core import consensus
from jackdawpost.core import lease_ledger
from jackdawpost.core import replica_choice
from jackdawpost.core.errors import JackdawpostError
from jackdawpost.core.lease_holder import LeaseHolder
from jackdawpost.core.lease_ledger import LeaseLedger
from jackdawpost.core.object_checks import Candidate
from jackdawpost.core.object_checks import check_objects
from jackdawpost.core.objects import ObjectSet
from jackdawpost.core.objects import parse_object
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.tokens import decode_token
from jackdawpost.core.tokens import encode_token
from jackdawpost.core.tokens import merge_position
from jackdawpost.core.tokens import SessionToken
from jackdawpost.testing.history import check_history
from jackdawpost.testing.history import History
from jackdawpost.version import __version__

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
