"""Edge to the platform's object API."""
