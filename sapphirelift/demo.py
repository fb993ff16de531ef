"""Demo."""


def main() -> int:
    """Runs."""
    return 0
