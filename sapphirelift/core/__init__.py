"""Decision core: state machines without sockets, clocks or random sources."""
