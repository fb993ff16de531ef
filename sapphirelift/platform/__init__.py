"""Adapters to the platform: object store, packets, reports, readiness."""
