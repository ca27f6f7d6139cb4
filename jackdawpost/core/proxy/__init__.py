"""Proxies whose callers carry a session token."""
