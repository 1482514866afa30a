"""Implementations of the ports, and other code that performs input and output."""
