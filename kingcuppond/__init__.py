"""A load balancer for servers whose load shifts in milliseconds.

One daemon runs beside each server.  It is the entry for callers, the router that picks a server for
each call, and the gate that its own server's work must pass.  There is no other kind of process:
what must be agreed or kept lives in the platform's store, everything else is soft state.
"""

from typing import Final

VERSION: Final = "0.1.0"
