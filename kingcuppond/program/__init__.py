"""The command line.

The HTTP library loads all root certificates when it is first imported, and every command imports
it.  The program uses only plain HTTP, to addresses from its settings, so it needs no certificates.
The variable is set here because a package is imported before its modules.
"""

import os

os.environ["SSL_CERT_FILE"] = os.devnull
