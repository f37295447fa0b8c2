"""A load balancer for servers whose load shifts in milliseconds.

One daemon runs beside each server.  It is the entry for callers, the router that picks a server for
each call, and the gate that its own server's work must pass.  There is no other kind of process:
what must be agreed or kept lives in the platform's store, everything else is soft state.
"""

import time
from typing import Final

STARTED_AT: Final = time.monotonic()
"""Start of this process on the monotonic clock; the imports that follow take long on a slow VM."""

VERSION: Final = "0.1.0"
