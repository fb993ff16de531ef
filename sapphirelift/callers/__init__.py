"""Edge to callers."""
