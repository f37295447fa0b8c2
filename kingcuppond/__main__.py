"""Entry point for ``python -m kingcuppond``."""

import gc
import sys

from kingcuppond.early_listener import listen_early


def _run() -> None:
    listen_early(sys.argv[1:])
    # Nothing that the imports create becomes garbage, so passes over it only delay the start.
    gc.disable()
    from kingcuppond.program.main import main

    gc.enable()
    main()


if __name__ == "__main__":
    _run()
