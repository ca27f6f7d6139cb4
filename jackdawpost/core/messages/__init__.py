"""Messages exchanged by callers, proxies, control processes and upstreams."""
