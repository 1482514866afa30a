"""Interfaces to the outside systems that the daemons depend on."""
