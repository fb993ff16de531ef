"""Membership, failure detection, and the status writer's lease."""
