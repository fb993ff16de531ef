"""Client library and listening ports for callers."""
