"""Client side of the connections to backend servers."""
