"""Bounds of the numbers and texts that are read from other programs.

Every value within them can be calculated with and sent to other processes.
"""

from __future__ import annotations

from typing import Annotated, Final, TypeAlias

import msgspec

#: Largest whole number that every JSON reader represents exactly.
MAX_WHOLE_NUMBER: Final = (1 << 53) - 1
#: Largest duration in milliseconds, rate or factor.
MAX_QUANTITY: Final = 1e12
#: Largest number of slots, and of requests, of one backend.
MAX_SLOTS: Final = 100_000
#: Largest number of ranks of a group.
MAX_RANKS: Final = 1_024
#: Longest name or other text; messages between processes have the same limit.
MAX_TEXT_LENGTH: Final = 200

WholeNumber: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Quantity: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_QUANTITY)]
RankCount: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_RANKS)]
Text: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
