"""Command line options of a stand-in, made from an attrs class: one option for each field."""

import argparse
from typing import Any, TypeVar

import attrs

T = TypeVar("T")


def read_options(doc: str | None, type_: type[T]) -> T:
    """Read the options of this process.

    :param doc: doc text of the module; its first line tells what the program is
    :param type_: an attrs class; a field without a default is required
    """
    parser = argparse.ArgumentParser(description=(doc or "").partition("\n")[0])
    fields: Any = attrs.fields(type_)  # type: ignore[arg-type]
    for field in fields:
        required = field.default is attrs.NOTHING
        default = None if required else field.default
        name = "--" + field.name.replace("_", "-")
        parser.add_argument(name, type=field.type, default=default, required=required)
    return type_(**vars(parser.parse_args()))
