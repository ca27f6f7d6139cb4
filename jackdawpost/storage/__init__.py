"""Durable storage of the consensus state of a control process."""

from __future__ import annotations

from jackdawpost.storage.durable_store import DurableStore

__all__ = ['DurableStore']
