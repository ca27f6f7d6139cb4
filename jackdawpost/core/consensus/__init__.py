"""Replicated log: elections, replication, snapshots."""
