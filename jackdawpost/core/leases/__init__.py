"""Write leases: the right of a proxy to acknowledge writes of one group.

`holder` is the side of a proxy or pooler, `ledger` that of the control leader,
which orders a promotion only once no lease on the old primary can be in force.
"""
