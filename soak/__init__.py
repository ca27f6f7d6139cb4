"""Fault-injection soak test of the platform's programs.

``python -m soak --seeds 1-50`` draws a fault plan for each seed, starts the
programs as processes and injects the faults under traffic. It then checks
invariants, such as no lost or duplicate write, on the records of callers and
databases.
"""
