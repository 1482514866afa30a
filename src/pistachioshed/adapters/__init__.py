"""Implementations of the ports on real libraries."""
