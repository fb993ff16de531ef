"""Request handling: transfer, admission, runs, retries and outcomes."""
