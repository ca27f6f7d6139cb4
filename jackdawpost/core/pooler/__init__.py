"""Session pooler: multiplexes caller sessions over few upstream connections.

In the proxy of `jackdawpost.core.proxy.reducer`, callers carry a session
token from one connection to the next. In the pooler, a session is a single
connection. The pooler stores the session values and the prepared statements
of each session and replays them on the upstream connection that runs the
session's next statement.
"""
