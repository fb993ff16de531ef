"""Decision core: state machines without sockets, clock or random source."""
