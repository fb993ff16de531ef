"""Flows of the message protocol: ownership, routing and load balancing."""
