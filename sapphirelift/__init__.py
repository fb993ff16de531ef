"""Layer-4 load balancer configured through the platform's object API."""

import warnings

# The house style asks for eventlet, which warns at import that it is in
# maintenance mode. Only that warning is filtered.
warnings.filterwarnings(
    "ignore", message="(?s).*Eventlet is deprecated", module=".*"
)

__version__ = "0.1.0"
