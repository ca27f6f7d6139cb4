"""Bound on the connections that are opened because tenants take turns.

If more tenants have queued statements than there are connections, each
statement served in fair order may need a connection to be replaced first.
With 2 connections and 12 tenants, 186 were opened for 194 statements. The
time that opening takes on the database is limited to a share of the time that
statements take; between changes, a connection serves its own tenant.
"""

from __future__ import annotations

# Time for which opening a connection occupies a slot of the database.
OPENING_MS = 12.0
# Share of the time of statements that is available for opening. That time
# includes the wait for a slot, hence the share of slot time is higher.
CREDIT_SHARE = 0.1
MAX_CREDIT_MS = 4 * OPENING_MS


def add_credit(credit_ms: float, statement_ms: float) -> float:
    """Return the credit of an upstream after it has served a statement."""
    return min(MAX_CREDIT_MS, credit_ms + statement_ms * CREDIT_SHARE)


def allows_change(credit_ms: float) -> bool:
    """Return whether a connection may be opened to let a tenant go first."""
    return credit_ms >= OPENING_MS
