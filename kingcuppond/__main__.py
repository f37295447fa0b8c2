"""Entry point for ``python -m kingcuppond``."""

import gc


def _run() -> None:
    # Nothing that the imports create becomes garbage, so passes over it only delay the start.
    gc.disable()
    from kingcuppond.program.main import main

    gc.enable()
    main()


if __name__ == "__main__":
    _run()
