"""Times on the platform's wire: a number with ``ms`` or ``s``, such as ``1500ms`` or ``2.5s``."""

import re
from typing import Final

PATTERN: Final = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_BY_UNIT: Final = {"ms": 1.0, "s": 1000.0}


def read_ms(text: str) -> int:
    """Return a time in whole milliseconds.

    :raises ValueError: the text is not a time
    """
    match = PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a time such as 1500ms or 2.5s")
    return round(float(match[1]) * MS_BY_UNIT[match[2]])
