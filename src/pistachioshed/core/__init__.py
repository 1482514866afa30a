"""The decision core: state and policy, without any I/O."""
