"""What operators do: edits, their audit trail, sheets and status."""
