"""Layer-4 decision logic for end-to-end flows, without I/O or clocks."""
