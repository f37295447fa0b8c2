"""The command line.

The HTTP library loads all root certificates when it is first imported, and every command imports
it. The program speaks plain HTTP to addresses that its operators chose, so it needs none of them.
This stands here since a package is imported before its modules.
"""

import os

os.environ["SSL_CERT_FILE"] = os.devnull
