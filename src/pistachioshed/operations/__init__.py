"""Table edits by operators, the audit trail, CSV sheets and version status."""
