"""Interfaces that the daemons need from the outside."""
