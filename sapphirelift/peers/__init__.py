"""UDP and gRPC transport between daemons."""
