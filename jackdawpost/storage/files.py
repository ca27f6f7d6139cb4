"""File operations of the durable store.

Tests replace this layer to simulate crashes and disk errors.
"""

from __future__ import annotations

import os


class FileLayer:
    """File operations of the operating system."""

    def create(self, path: str) -> int:
        """Create or truncate a file and return its descriptor."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        return os.open(path, flags, 0o600)

    def open(self, path: str) -> int:
        """Open an existing file for reading and writing."""
        return os.open(path, os.O_RDWR | os.O_CLOEXEC)

    def write(self, fd: int, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`."""
        view = memoryview(data)
        while view:
            written = os.pwrite(fd, view, offset)
            offset += written
            view = view[written:]

    def truncate(self, fd: int, length: int) -> None:
        """Truncate a file to `length` bytes."""
        os.ftruncate(fd, length)

    def sync(self, fd: int) -> None:
        """Make the content of a file durable."""
        os.fsync(fd)

    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically, replacing the target if it exists."""
        os.replace(source, target)

    def unlink(self, path: str) -> None:
        """Remove a file if it exists."""
        try:
            os.unlink(path)
        except FileNotFoundError:
            pass

    def sync_folder(self, path: str) -> None:
        """Make created, renamed and removed names in a folder durable."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
