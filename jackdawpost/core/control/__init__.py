"""Control processes: members, leases, promotions, operators."""
