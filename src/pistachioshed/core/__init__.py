"""The decision core: pure state and policy, with no input or output."""
