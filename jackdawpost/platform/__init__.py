"""Adapter between the core and the deployment platform.

It holds the platform's names, file formats and requests, and makes no
decisions. Messages from outside are decoded once into the types of the core,
and the answers of the core are encoded for the platform.
"""
