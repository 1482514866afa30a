"""Translate between the wire formats of the users' platform and the product's types.

This package does nothing else.
"""
