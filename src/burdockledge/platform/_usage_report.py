"""The platform's form of usage reports."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from burdockledge.usage import UsageReportFormat

if TYPE_CHECKING:
    from collections.abc import Mapping


# The start of a later window is no exact number of seconds.
_MAX_WINDOW: Final = (1 << 53) - 1


class _Report(BaseModel):
    model_config = ConfigDict(strict=True)

    window_id: Annotated[int, Field(ge=0, le=_MAX_WINDOW)]
    counts: dict[str, Annotated[int, Field(ge=0)]]


class PlatformUsageReport(UsageReportFormat):
    """Reports as JSON, with the same bytes for the same counts."""

    def encode(self, window: int, counts: Mapping[str, int]) -> bytes:
        """Return the report of a window."""
        report = {'window_id': window, 'counts': dict(sorted(counts.items()))}
        return json.dumps(report, separators=(',', ':')).encode()

    def window_of(self, report: bytes) -> int | None:
        """Return the window of a report, None if it can not be read."""
        try:
            return _Report.model_validate_json(report).window_id
        except ValidationError:
            return None


__all__ = ('PlatformUsageReport',)
