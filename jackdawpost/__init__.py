"""Database proxy with session consistency, and its coordination parts."""

from __future__ import annotations

from jackdawpost.version import __version__

__all__ = ['__version__']
