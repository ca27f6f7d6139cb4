"""Data classes of all messages between processes."""
