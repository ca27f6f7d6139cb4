"""Control processes: membership, leases, promotions, operator requests."""
