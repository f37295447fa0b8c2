"""Entry point for ``python -m kingcuppond``."""

from kingcuppond.program.main import main

if __name__ == "__main__":
    main()
