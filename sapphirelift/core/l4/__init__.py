"""Decisions about packets of end-to-end flows, without I/O or clocks."""
