"""Adapter to the deployment platform: names, formats and calls.

Nothing here decides. Wire messages are decoded into the product's own types
once, and the product's answers are put into the platform's words.
"""
