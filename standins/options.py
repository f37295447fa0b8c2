"""Command line options derived from an attrs class, one option for each field."""

import argparse
from typing import Any, TypeVar

import attrs

T = TypeVar("T")


def read_options(doc: str | None, type_: type[T]) -> T:
    """Parse the command line of this process.

    :param doc: docstring of the program's module; its first line becomes the help text
    :param type_: attrs class; a field without a default is a required option
    :return: an instance of ``type_``
    """
    parser = argparse.ArgumentParser(description=(doc or "").partition("\n")[0])
    fields: Any = attrs.fields(type_)  # type: ignore[arg-type]
    for field in fields:
        required = field.default is attrs.NOTHING
        default = None if required else field.default
        name = "--" + field.name.replace("_", "-")
        parser.add_argument(name, type=field.type, default=default, required=required)
    return type_(**vars(parser.parse_args()))
