"""Durations as text: a number and a unit, such as ``1500ms`` or ``2.5s``."""

import math
import re
from typing import Final

DURATION_PATTERN: Final = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_BY_UNIT: Final = {"ms": 1.0, "s": 1000.0}


def parse_duration_ms(text: str) -> int:
    """Parse a duration and round it to whole milliseconds.

    :raises ValueError: the text is not a duration
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration such as 1500ms or 2.5s")
    milliseconds = float(match[1]) * MS_BY_UNIT[match[2]]
    if math.isinf(milliseconds):
        raise ValueError(f"the duration is too large: {text[:20]}...")
    return round(milliseconds)
