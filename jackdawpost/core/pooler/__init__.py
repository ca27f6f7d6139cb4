"""Session pooler: many caller sessions on few upstream connections.

Unlike the proxy of `jackdawpost.core.proxy.reducer`, whose callers carry a
session token from connection to connection, a session here is a connection.
The pooler keeps the session's values and prepared statements, and replays
them onto whichever upstream connection runs its next statement.
"""
