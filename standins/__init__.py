"""Small stand-ins for external systems, used by the tests and the demo."""
