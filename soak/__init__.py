"""Fault-injection soak test of the platform's programs.

``python -m soak --seeds 1-50`` draws a fault plan for each seed, starts the
programs as processes, injects the faults under traffic, and checks the
consistency guarantees against the records of callers and databases.
"""
