"""Simulated databases for tests and experiments."""
