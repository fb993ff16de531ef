"""Load generator and benchmarks."""
