"""Stand-in for one database of a replicated group."""
