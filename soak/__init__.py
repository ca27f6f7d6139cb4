"""Fault soak: the platform's programs as processes, under drawn faults.

``python -m soak --seeds 1-50`` draws a plan of faults for each seed, plays it
against real processes, and checks the promises from what callers and
databases saw.
"""
