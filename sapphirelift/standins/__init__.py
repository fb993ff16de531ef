"""Simulated platform, network endpoints and fault proxy for tests."""
