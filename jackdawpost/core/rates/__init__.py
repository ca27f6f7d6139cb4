"""Rate limits of tenants: token buckets shared by all poolers."""
