"""Raft-style consensus: elections, log replication and snapshots."""
