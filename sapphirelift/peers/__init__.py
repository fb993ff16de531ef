"""Edge between the system's own processes."""
