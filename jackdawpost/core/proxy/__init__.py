"""Decision logic of a proxy whose callers carry session tokens."""
