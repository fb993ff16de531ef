"""Edge to the backend server."""
