"""Entry points of the shipped binaries."""
