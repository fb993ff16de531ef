"""Layer-4 load balancer configured through the platform's object API."""

import warnings

# Eventlet, which the project's style guide prescribes, warns on import that
# it is in maintenance mode. Only that warning is suppressed.
warnings.filterwarnings(
    "ignore", message="(?s).*Eventlet is deprecated", module=".*"
)

__version__ = "0.1.0"
