"""Load and experiment tool: small fakes around the decision core, and measures."""
