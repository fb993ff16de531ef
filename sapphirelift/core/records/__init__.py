"""Operator-written records and the replica of the platform's objects."""
