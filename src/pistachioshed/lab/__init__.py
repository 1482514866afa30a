"""Load experiments: run the decision core against simulated callers and hosts."""
